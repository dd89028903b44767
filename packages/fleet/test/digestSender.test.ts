/** Guards that digests stay within their rate, and that nothing is sent where targets are alike or not known. */
import VirtualClock from '@wisteriapath/virtual-clock';
import type { DigestRow } from '../src';
import DigestSender from '../src/DigestSender';
import type TargetSpeeds from '../src/TargetSpeeds';

const ROW: DigestRow = ['engine-0', 250, 3, 250, 1];
const RUN_MS = 10_000;

const sendsWith = async (speeds: Pick<TargetSpeeds, 'digest'> | undefined): Promise<number> => {
  const clock = new VirtualClock();
  let sends = 0;
  const lines: string[] = [];
  const sender = new DigestSender({
    clock,
    demand: { speeds: speeds as TargetSpeeds | undefined },
    log: { event: (name) => lines.push(name) },
    sendDigest: () => {
      sends += 1;
    },
  });
  for (let passedMs = 0; passedMs < RUN_MS; passedMs += 40) {
    sender.sendIfDue();
    await clock.advance(40);
  }
  expect(lines.length).toBeLessThanOrEqual(RUN_MS / 5_000);
  return sends;
};

test('digests are sent at most twice a second', async () => {
  const sends = await sendsWith({ digest: [ROW] });
  expect(sends).toBeGreaterThan(15);
  expect(sends).toBeLessThanOrEqual(RUN_MS / 500);
});

test('an empty digest is not sent', async () => {
  expect(await sendsWith({ digest: [] })).toBe(0);
});

test('nothing is sent where no speeds are known', async () => {
  expect(await sendsWith(undefined)).toBe(0);
});
