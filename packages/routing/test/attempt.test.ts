/** An attempt ends with its caller or its deadline, whatever the collector does meanwhile. */
import { systemClock } from '@wisteriapath/model';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import Attempt from '../src/Attempt';

const DEADLINE_MS = 100;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

const listen = (gone: AbortSignal): { aborted: boolean } => {
  const seen = { aborted: false };
  void Attempt.during(gone, DEADLINE_MS, ({ signal }) => {
    signal.addEventListener('abort', () => {
      seen.aborted = true;
    });
    return new Promise(() => {});
  });
  return seen;
};

describe('an attempt', () => {
  test('ends at its deadline although garbage is collected before', async () => {
    const seen = listen(new AbortController().signal);
    await systemClock.sleep(10);
    collectGarbage();
    await systemClock.sleep(DEADLINE_MS * 5);
    expect(seen.aborted).toBe(true);
  });
});
