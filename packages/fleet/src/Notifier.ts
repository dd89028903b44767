interface Deferred {
  readonly promise: Promise<void>;
  readonly resolve: () => void;
}

const createDeferred = (): Deferred => {
  let resolve = (): void => {};
  const promise = new Promise<void>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
};

/**
 * Wakes tasks that wait for a change.
 *
 * @example
 * await Promise.race([notifier.next(), clock.sleep(50)]);
 */
class Notifier {
  private pending = createDeferred();

  /** Returns a promise that resolves at the next change. */
  next(): Promise<void> {
    return this.pending.promise;
  }

  /** Wakes all waiting tasks. */
  notify(): void {
    const { resolve } = this.pending;
    this.pending = createDeferred();
    resolve();
  }
}

export default Notifier;
