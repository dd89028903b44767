/** A model that is on its way from the weight store is loaded from a copy once an engine can, if that ends much sooner. */
import startPlacers from './support/startPlacers';

const HELD = ['x', 'y', 'z'];
const WAITING = [
  {
    pool: 'guides',
    model: 'hot',
    adapter: null,
    waiting: 20,
    waitedMs: 500,
    latencyTargetMs: 250,
  },
];
/** The engine with the copy can evict nothing until then. */
const IN_USE_MS = 1_500;
const STEP_MS = 50;
/** A load from the store ends later, one from the copy well before. */
const SERVED_WITHIN_MS = 4_500;

const start = () =>
  startPlacers({
    engineCounts: { a: 1, b: 1 },
    models: [...HELD, 'hot'],
    held: HELD,
    copied: HELD,
    copiedIn: { a: ['hot'] },
  });

const runningOn = (engine: string) =>
  HELD.map((model) => [engine, model, '', 1] as [string, string, string, number]);

test('a load from the weight store does not keep a model from being loaded from a copy', async () => {
  const { run, isHeld, storeLoads, stop } = start();
  let passedMs = 0;
  await run(SERVED_WITHIN_MS, () => {
    passedMs += STEP_MS;
    return { waiting: WAITING, running: passedMs < IN_USE_MS ? runningOn('a0') : [] };
  });
  expect(storeLoads).toHaveLength(1);
  expect(isHeld('hot')).toBe(true);
  await stop();
});

test('a load from a copy is not followed by a second one of the same model', async () => {
  const { run, lines, storeLoads, stop } = start();
  await run(SERVED_WITHIN_MS, () => ({ waiting: WAITING }));
  expect(storeLoads).toEqual([]);
  expect(lines.filter((line) => line.includes('load_decided'))).toHaveLength(1);
  await stop();
});
