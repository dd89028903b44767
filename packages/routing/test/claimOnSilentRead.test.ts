/**
 * Guards that a call that may run once is claimed in time, and a repeat of it answered, though the connections on which
 * claims are read have gone silent: it was refused at its deadline, for up to 12 s (issue 74).
 */
import { RecordIds, StreamReplica } from '@wisteriapath/log-client';
import { Deadline } from '@wisteriapath/model';
import VirtualClock from '@wisteriapath/virtual-clock';
import ClaimRegistry from '../src/ClaimRegistry';
import createClaimsFold from '../src/createClaimsFold';
import SilentReadLog from './support/SilentReadLog';

const LONG_POLL_MS = 10_000;
const DEDUPE_WINDOW_MS = 60_000;
const KEY = 'a1'.repeat(32);
const BODY = 'b2'.repeat(32);
const OUTCOME = { status: 200, contentType: 'text/plain', bodyBase64: 'Ym9va2Vk' };
/** Time in which most deadlines end. */
const BOUND_MS = 1_000;
const DEADLINE_MS = 4_000;
/** Time for which the reads have waited when their connections go silent. */
const WAITED_MS = 2_500;

const start = async () => {
  const clock = new VirtualClock();
  const log = new SilentReadLog(clock);
  const createRegistry = () => {
    const replica = new StreamReplica(log, 'claims-0', createClaimsFold(DEDUPE_WINDOW_MS), clock, {
      longPollMs: LONG_POLL_MS,
    });
    replica.start();
    return new ClaimRegistry({ log, clock, ids: new RecordIds(), shards: [replica] });
  };
  const registries = [createRegistry(), createRegistry()];
  await clock.advance(WAITED_MS);
  /** Claims a key; tells the result, and after what time it came. */
  const claim = async (number: number) => {
    const beganMs = clock.nowMs();
    const result = await registries[number].claim(KEY, BODY, Deadline.after(clock, DEADLINE_MS));
    return { result, tookMs: clock.nowMs() - beganMs };
  };
  return { clock, log, registries, claim };
};

test('a claim is won in time though the read of its stream has gone silent', async () => {
  const { clock, log, claim } = await start();
  log.silenceReads();
  const claimed = claim(0);
  await clock.advance(DEADLINE_MS);
  const { result, tookMs } = await claimed;
  expect(result).toMatchObject({ kind: 'won' });
  expect(tookMs).toBeLessThan(BOUND_MS);
});

test('a repeat at another instance gets the outcome in time though its read has gone silent', async () => {
  const { clock, log, registries, claim } = await start();
  const first = claim(0);
  await clock.advance(100);
  const { result } = await first;
  if (result.kind !== 'won') throw new Error('not won');
  await clock.advance(WAITED_MS);
  const repeat = claim(1);
  await clock.advance(BOUND_MS / 2);
  log.silenceReads();
  registries[0].complete(KEY, result.claimId, OUTCOME);
  await clock.advance(DEADLINE_MS);
  expect(await repeat).toMatchObject({ result: { kind: 'ran', outcome: OUTCOME } });
  expect((await repeat).tookMs).toBeLessThan(DEADLINE_MS);
});

test('nobody who waits: the reads of claims remain few', async () => {
  const { clock, log } = await start();
  const before = log.reads;
  await clock.advance(10 * LONG_POLL_MS);
  expect(log.reads - before).toBeLessThanOrEqual(2 * 11);
});
