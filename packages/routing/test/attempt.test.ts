/**
 * Guards the deadline of an attempt: its timer must not be garbage-collected, which happens if only
 * a signal from `AbortSignal.any` refers to it.
 */
import { systemClock } from '@wisteriapath/model';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import Attempt from '../src/Attempt';

const DEADLINE_MS = 100;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const startAttempt = (disconnectSignal: AbortSignal): { aborted: boolean } => {
  const state = { aborted: false };
  void Attempt.run(disconnectSignal, DEADLINE_MS, ({ signal }) => {
    signal.addEventListener('abort', () => {
      state.aborted = true;
    });
    return new Promise(() => {});
  });
  return state;
};

describe('an attempt', () => {
  test('ends at its deadline even if garbage is collected before', async () => {
    const state = startAttempt(new AbortController().signal);
    await systemClock.sleep(10);
    collectGarbage();
    await systemClock.sleep(DEADLINE_MS * 5);
    expect(state.aborted).toBe(true);
  });
});
