/** A request that is tried though it may crash its target does not end the only one that holds its model, as long as the trial can wait. */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TargetTable } from '@wisteriapath/fleet';
import { SuspectRegistry } from '@wisteriapath/suspects';
import type AdmittedRequest from '../src/AdmittedRequest';
import RequestProbe from '../src/RequestProbe';
import TargetFinder from '../src/TargetFinder';
import createFinderDeps from './support/createFinderDeps';
import searchUntil from './support/searchUntil';
import targetEntry from './support/targetEntry';

const PATIENCE_MS = 2_000;
const FIRST_PROBE_MS = 8_000;
/** Longer than a target is left alone after a connection could not be opened. */
const BACKOFF_MS = 1_500;
/** Time from which a trial that is due goes to the only holder of a model, too. */
const LAST_PROBE_MS = 2 * FIRST_PROBE_MS;

const start = async (holders: number) => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  const idOf = (number: number) => `holder-${number}`;
  const holderOf = (number: number) =>
    targetEntry({ id: idOf(number), address: `10.0.0.${number}:1` });
  for (let number = 0; number < holders; number += 1) table.applyEntry(holderOf(number));
  const suspects = new SuspectRegistry({
    clock,
    log: { event: () => {} },
    announce: () => {},
    onQuarantineChanged: () => {},
  });
  const deps = createFinderDeps(clock, table);
  const request = {
    pool: { name: 'guides', engine: { models: new Map() }, maxConnections: 4, coldPerS: 0 },
    route: { latencyTargetMs: 600 },
    fields: { model: 'm', adapter: null, attemptId: 'one' },
    deadlineAtMs: Infinity,
  } as unknown as AdmittedRequest;
  ['crash-1', 'crash-2'].forEach((crashId) =>
    suspects.recordCrash({ crashId, hasEnded: true, traits: ['part'], sentAtMs: clock.nowMs() }),
  );
  /** Looks for a target of a request with these traits; returns its id. */
  const find = async (traits: readonly string[]): Promise<string | undefined> => {
    const probe = new RequestProbe(suspects, traits);
    const found = new TargetFinder(deps).find(request, {
      ...searchUntil(clock.nowMs() + PATIENCE_MS),
      needsSpare: () => probe.needsSpareTarget,
    });
    await clock.advance(PATIENCE_MS + 1);
    const chosen = await found;
    chosen?.reservation.release();
    return chosen?.view.entry.id;
  };
  await clock.advance(FIRST_PROBE_MS);
  const failToConnect = (number: number) => {
    const reservation = deps.loads.reserve(idOf(number), 'm', null);
    reservation.recordConnectFailure();
    reservation.complete(true);
  };
  return { clock, find, failToConnect };
};

test('a trial that is due waits while one target holds the model', async () => {
  const { find } = await start(1);
  expect(await find(['part'])).toBeUndefined();
  expect(await find(['sound'])).toBeDefined();
});

test('a trial that is due goes to one of several targets that hold the model', async () => {
  const { find } = await start(2);
  expect(await find(['part'])).toBeDefined();
});

test('a trial that is due does not go to the only target that answers', async () => {
  const { clock, find, failToConnect } = await start(2);
  failToConnect(1);
  await clock.advance(BACKOFF_MS);
  const found = [await find(['part']), await find(['part']), await find(['part'])];
  expect(found).not.toContain('holder-0');
});

test('a trial that has waited long goes to the only target that holds the model', async () => {
  const { clock, find } = await start(1);
  await clock.advance(LAST_PROBE_MS - FIRST_PROBE_MS);
  expect(await find(['part'])).toBeDefined();
});
