import type QueueItem from './QueueItem';

/** The waiting items of one workspace. */
interface WorkspaceQueue<T> {
  readonly items: T[];
  /** Virtual time at which the workspace's next item starts. */
  virtualStart: number;
}

const withEarliestDeadline = <T extends QueueItem>(items: readonly T[]): T =>
  items.reduce((first, item) => (item.deadlineAtMs < first.deadlineAtMs ? item : first));

/** Start-time fair queueing between workspaces, and earliest deadline first within each. */
class ClassQueue<T extends QueueItem> {
  private readonly workspaceQueues = new Map<string, WorkspaceQueue<T>>();

  private virtualTime = 0;

  /** Number of waiting items. */
  size = 0;

  push(item: T): void {
    const queue = this.workspaceQueues.get(item.workspace) ?? {
      items: [],
      virtualStart: this.virtualTime,
    };
    this.workspaceQueues.set(item.workspace, queue);
    queue.items.push(item);
    this.size += 1;
  }

  /** Removes and returns the next item that `accepts` allows; undefined if there is none. */
  pop(accepts: (item: T) => boolean): T | undefined {
    const order = [...this.workspaceQueues.values()].sort(
      (a, b) => a.virtualStart - b.virtualStart,
    );
    for (const queue of order) {
      const candidates = queue.items.filter(accepts);
      if (candidates.length > 0) {
        const item = withEarliestDeadline(candidates);
        this.virtualTime = Math.max(this.virtualTime, queue.virtualStart);
        queue.virtualStart = this.virtualTime + item.cost / item.weight;
        this.remove(item);
        return item;
      }
    }
    return undefined;
  }

  /** Removes an item, if it is queued. */
  remove(item: T): void {
    const queue = this.workspaceQueues.get(item.workspace);
    const position = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || position < 0) return;
    queue.items.splice(position, 1);
    this.size -= 1;
    this.removeIdleQueues();
  }

  /** Removes empty queues of workspaces that used no more than their share. */
  private removeIdleQueues(): void {
    this.workspaceQueues.forEach((queue, workspace) => {
      const isCaughtUp = queue.virtualStart <= this.virtualTime;
      if (queue.items.length === 0 && isCaughtUp) this.workspaceQueues.delete(workspace);
    });
    if (this.size === 0) this.workspaceQueues.clear();
  }
}

export default ClassQueue;
