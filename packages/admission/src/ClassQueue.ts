import type QueueItem from './QueueItem';

interface Lane<T> {
  readonly items: T[];
  /** Virtual time at which the workspace's next item starts. */
  virtualStart: number;
}

const earliest = <T extends QueueItem>(items: readonly T[]): T =>
  items.reduce((first, item) => (item.deadlineAtMs < first.deadlineAtMs ? item : first));

/** Start-time fair queueing between workspaces, earliest deadline first within one. */
class ClassQueue<T extends QueueItem> {
  private readonly lanes = new Map<string, Lane<T>>();

  private virtualNow = 0;

  size = 0;

  push(item: T): void {
    const lane = this.lanes.get(item.workspace) ?? { items: [], virtualStart: this.virtualNow };
    this.lanes.set(item.workspace, lane);
    lane.items.push(item);
    this.size += 1;
  }

  pop(accepts: (item: T) => boolean): T | undefined {
    const order = [...this.lanes.values()].sort((a, b) => a.virtualStart - b.virtualStart);
    for (const lane of order) {
      const candidates = lane.items.filter(accepts);
      if (candidates.length > 0) {
        const item = earliest(candidates);
        this.virtualNow = Math.max(this.virtualNow, lane.virtualStart);
        lane.virtualStart = this.virtualNow + item.cost / item.weight;
        this.remove(item);
        return item;
      }
    }
    return undefined;
  }

  remove(item: T): void {
    const lane = this.lanes.get(item.workspace);
    const position = lane?.items.indexOf(item) ?? -1;
    if (lane === undefined || position < 0) return;
    lane.items.splice(position, 1);
    this.size -= 1;
    this.forgetIdleLanes();
  }

  /** A workspace that used no more than its share keeps no history. */
  private forgetIdleLanes(): void {
    this.lanes.forEach((lane, workspace) => {
      const caughtUp = lane.virtualStart <= this.virtualNow;
      if (lane.items.length === 0 && caughtUp) this.lanes.delete(workspace);
    });
    if (this.size === 0) this.lanes.clear();
  }
}

export default ClassQueue;
