import { type Clock, type Deadline, wakeUp } from '@wisteriapath/model';

/** Lets callers run one after the other, in the order in which they asked. */
class TurnQueue {
  private isTaken = false;

  private readonly waiters = new Set<() => void>();

  constructor(private readonly clock: Clock) {}

  /**
   * Waits until all earlier callers have had their turns. Resolves to true if the turn came before the
   * deadline; the caller must then call `release`.
   *
   * @example
   * if (await turns.take(deadline)) await run().finally(() => turns.release());
   */
  async take(deadline: Deadline): Promise<boolean> {
    if (!this.isTaken) {
      this.isTaken = true;
      return true;
    }
    const came = new AbortController();
    const waiter = () => wakeUp(came);
    this.waiters.add(waiter);
    await this.clock.sleep(deadline.remainingMs(), came.signal);
    this.waiters.delete(waiter);
    return came.signal.aborted;
  }

  /** Ends the turn, and gives it to the caller that has waited longest. */
  release(): void {
    const [next] = this.waiters;
    if (next === undefined) {
      this.isTaken = false;
      return;
    }
    this.waiters.delete(next);
    next();
  }
}

export default TurnQueue;
