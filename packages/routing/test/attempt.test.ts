/** An attempt ends with its caller or its deadline, whatever the collector does meanwhile. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import Attempt from '../src/Attempt';

const DEADLINE_MS = 100;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const pause = (durationMs: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const listen = (gone: AbortSignal): { aborted: boolean } => {
  const seen = { aborted: false };
  new Attempt(gone, DEADLINE_MS).signal.addEventListener('abort', () => {
    seen.aborted = true;
  });
  return seen;
};

describe('an attempt', () => {
  test('ends at its deadline although garbage is collected before', async () => {
    const seen = listen(new AbortController().signal);
    await pause(10);
    collectGarbage();
    await pause(DEADLINE_MS * 5);
    expect(seen.aborted).toBe(true);
  });
});
