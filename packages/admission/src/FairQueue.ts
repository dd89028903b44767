import { RequestClass } from '@wisteriapath/model';
import ClassQueue from './ClassQueue';
import type QueueItem from './QueueItem';

/** While both classes wait, deferrable items get one turn in this many, so they do not starve. */
const DEFERRABLE_TURN_INTERVAL = 8;

/**
 * A queue of waiting requests. Interactive requests come before deferrable ones, which get a fixed
 * share of the turns. Workspaces are served by weight, and the requests of one workspace by
 * deadline.
 */
class FairQueue<T extends QueueItem> {
  private readonly classes: Readonly<Record<RequestClass, ClassQueue<T>>> = {
    [RequestClass.Interactive]: new ClassQueue<T>(),
    [RequestClass.Deferrable]: new ClassQueue<T>(),
  };

  private turnCount = 0;

  /** Number of waiting requests. */
  get size(): number {
    return this.classes.interactive.size + this.classes.deferrable.size;
  }

  push(item: T): void {
    this.classes[item.requestClass].push(item);
  }

  /** Removes and returns the next item that `accepts` allows; undefined if there is none. */
  pop(accepts: (item: T) => boolean = () => true): T | undefined {
    this.turnCount += 1;
    const { interactive, deferrable } = this.classes;
    const isDeferrableFirst = this.turnCount % DEFERRABLE_TURN_INTERVAL === 0;
    const [first, second] = isDeferrableFirst
      ? [deferrable, interactive]
      : [interactive, deferrable];
    return first.pop(accepts) ?? second.pop(accepts);
  }

  /** Removes an item, if it is queued. */
  remove(item: T): void {
    this.classes[item.requestClass].remove(item);
  }
}

export default FairQueue;
