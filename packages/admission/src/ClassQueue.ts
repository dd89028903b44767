import { WorkspaceFairness } from '@wisteriapath/scheduling';
import type QueueItem from './QueueItem';

const withEarliestDeadline = <T extends QueueItem>(items: readonly T[]): T =>
  items.reduce((first, item) => (item.deadlineAtMs < first.deadlineAtMs ? item : first));

/** Start-time fair queueing between workspaces, and earliest deadline first within each. */
class ClassQueue<T extends QueueItem> {
  private readonly waiting = new Map<string, T[]>();

  private readonly fairness = new WorkspaceFairness();

  /** Number of waiting items. */
  size = 0;

  push(item: T): void {
    const items = this.waiting.get(item.workspace);
    if (items === undefined) this.waiting.set(item.workspace, [item]);
    else items.push(item);
    this.fairness.join(item.workspace);
    this.size += 1;
  }

  /** Removes and returns the next item that `accepts` allows; undefined if there is none. */
  pop(accepts: (item: T) => boolean): T | undefined {
    const { fairness } = this;
    const order = [...this.waiting].sort(
      ([a], [b]) => fairness.virtualStart(a) - fairness.virtualStart(b),
    );
    for (const [workspace, items] of order) {
      const candidates = items.filter(accepts);
      if (candidates.length > 0) {
        const item = withEarliestDeadline(candidates);
        fairness.charge(workspace, item.cost, item.weight);
        this.remove(item);
        return item;
      }
    }
    return undefined;
  }

  /** Removes an item, if it is queued. */
  remove(item: T): void {
    const items = this.waiting.get(item.workspace);
    const position = items?.indexOf(item) ?? -1;
    if (items === undefined || position < 0) return;
    items.splice(position, 1);
    this.size -= 1;
    if (items.length === 0) this.waiting.delete(item.workspace);
    if (this.size === 0) this.fairness.clear();
    else this.fairness.retain((workspace) => this.waiting.has(workspace));
  }
}

export default ClassQueue;
