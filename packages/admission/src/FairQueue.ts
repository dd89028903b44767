import { RequestClass } from '@wisteriapath/model';
import ClassQueue from './ClassQueue';
import type QueueItem from './QueueItem';

/** Deferrable work gets one turn in this many, while both classes wait. */
const DEFERRABLE_TURN = 8;

/**
 * Waiting requests in their order of service: interactive before deferrable, which still gets a
 * part of the turns; by weight between workspaces; by deadline within one.
 */
class FairQueue<T extends QueueItem> {
  private readonly classes: Readonly<Record<RequestClass, ClassQueue<T>>> = {
    [RequestClass.Interactive]: new ClassQueue<T>(),
    [RequestClass.Deferrable]: new ClassQueue<T>(),
  };

  private turn = 0;

  get size(): number {
    return this.classes.interactive.size + this.classes.deferrable.size;
  }

  push(item: T): void {
    this.classes[item.requestClass].push(item);
  }

  /** Takes the next item that `accepts` allows; undefined if there is none. */
  pop(accepts: (item: T) => boolean = () => true): T | undefined {
    this.turn += 1;
    const { interactive, deferrable } = this.classes;
    const deferrableFirst = this.turn % DEFERRABLE_TURN === 0;
    const [first, second] = deferrableFirst ? [deferrable, interactive] : [interactive, deferrable];
    return first.pop(accepts) ?? second.pop(accepts);
  }

  remove(item: T): void {
    this.classes[item.requestClass].remove(item);
  }
}

export default FairQueue;
