import type Clock from './Clock';

/** A clock that uses the monotonic time and the timers of this process. */
const systemClock: Clock = {
  nowMs: () => performance.now(),
  sleep: (durationMs, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      let timer: NodeJS.Timeout;
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      timer = setTimeout(finish, Math.max(0, durationMs));
      signal?.addEventListener('abort', finish);
    }),
};

export default systemClock;
