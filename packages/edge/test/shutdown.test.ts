/** A planned stop keeps to its times also where requests do not end, so that what follows it fits into the grace period. */
import VirtualClock from '@wisteriapath/virtual-clock';
import Shutdown from '../src/Shutdown';

/** Part of the grace period that is left when the requests in progress must be answered. */
const FINAL_PART_MS = 500;
/** Part of the grace period that is left when answers that their callers have not taken are broken off. */
const END_PART_MS = 300;
/** Time from the moment at which the readiness is withdrawn until the balancer sends no callers. */
const TURNED_AWAY_MS = 2_600;

describe('a planned stop', () => {
  const run = (graceMs: number, activeRequests: () => number) => {
    const clock = new VirtualClock();
    const shutdown = new Shutdown({ clock, graceMs, activeRequests });
    const atMs = { final: NaN, end: NaN };
    shutdown.finalSignal.addEventListener('abort', () => {
      atMs.final = clock.nowMs();
    });
    const ended = shutdown.run([], true).then(() => {
      atMs.end = clock.nowMs();
    });
    return { clock, atMs, ended };
  };

  test.each([6_000, 6_010, 6_030, 6_049])(
    'of %j ms with a request that does not end takes no more than its part',
    async (graceMs) => {
      const { clock, atMs, ended } = run(graceMs, () => 1);
      await clock.runUntil(graceMs);
      await ended;
      expect(atMs).toEqual({ final: graceMs - FINAL_PART_MS, end: graceMs - END_PART_MS });
    },
  );

  test.each([
    { graceMs: 500, finalMs: 100, endMs: 200 },
    { graceMs: 1_000, finalMs: 600, endMs: 700 },
    { graceMs: 2_000, finalMs: 1_600, endMs: 1_700 },
    { graceMs: 3_000, finalMs: 2_600, endMs: 2_700 },
  ])('of $graceMs ms, not enough for the balancer and answers, fits into it', async (times) => {
    const { clock, atMs, ended } = run(times.graceMs, () => 1);
    await clock.runUntil(times.graceMs);
    await ended;
    expect(atMs).toEqual({ final: times.finalMs, end: times.endMs });
  });

  test.each([
    { passedMs: 1_000, cutoffMs: 1_600, finalMs: 4_500 },
    { passedMs: 3_000, cutoffMs: -400, finalMs: 2_500 },
  ])(
    'of which $passedMs ms have passed ends as much sooner, but the balancer turns away from now on',
    async (times) => {
      const clock = new VirtualClock();
      const shutdown = new Shutdown({ clock, graceMs: 6_000, activeRequests: () => 1 });
      const ended = shutdown.run([], true, times.passedMs);
      expect(shutdown).toMatchObject({
        sendCutoffAtMs: times.cutoffMs,
        turnedAwayAtMs: TURNED_AWAY_MS,
        endAtMs: times.finalMs,
      });
      await clock.runUntil(times.finalMs + FINAL_PART_MS - END_PART_MS);
      await ended;
    },
  );

  test('ends soon after the last request has ended', async () => {
    let active = 1;
    const { clock, atMs, ended } = run(6_000, () => active);
    await clock.runUntil(4_000);
    active = 0;
    await clock.runUntil(6_000);
    await ended;
    expect(atMs.end).toBeLessThanOrEqual(4_050);
  });

  test('of an instance that was never ready does not wait for the balancer', async () => {
    const clock = new VirtualClock();
    const shutdown = new Shutdown({ clock, graceMs: 6_000, activeRequests: () => 0 });
    const ended = shutdown.run([], false);
    expect(shutdown.sendCutoffAtMs).toBe(clock.nowMs());
    await clock.runUntil(0);
    await ended;
  });
});
