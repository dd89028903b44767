/** Guards which assets are evicted for a load, and in which order load orders are sent. */
import AssetUses from '../src/AssetUses';
import expectedUsePolicy from '../src/expectedUsePolicy';
import planLoad from '../src/planLoad';
import startAgent from './support/startAgent';

const base = { id: 'cups-7b', sizeMb: 40 };
const adapter = { id: 'cups-7b/silver', sizeMb: 5 };
const wanted = { id: 'phrases-9b', sizeMb: 70 };
const MIN_RESIDENT_MS = 10_000;

const context = (nowMs: number) => ({
  uses: new AssetUses(),
  retention: expectedUsePolicy,
  nowMs,
});

describe('planLoad', () => {
  test('evicts an idle model together with its idle adapters', async () => {
    const { agent, advance, nowMs } = await startAgent({
      assetMemoryMb: 100,
      loaded: [base, adapter],
    });
    advance(MIN_RESIDENT_MS);
    const plan = planLoad(agent, [wanted], context(nowMs()));
    expect(plan?.evictions.map(({ id }) => id)).toEqual(['cups-7b/silver', 'cups-7b']);
    agent.stop();
  });

  test('does not evict a model whose adapter is in use', async () => {
    const { agent, advance, nowMs } = await startAgent({
      assetMemoryMb: 100,
      loaded: [base, adapter],
    });
    advance(MIN_RESIDENT_MS);
    const request = { holder: 'entry-a1', wantSlots: 1, demand: [], inflight: 0, heldSlots: 0 };
    agent.slots.grant({ ...request, assetIds: [base.id, adapter.id] }, 4);
    expect(planLoad(agent, [wanted], context(nowMs()))).toBeUndefined();
    agent.stop();
  });

  test('does not evict an asset that was loaded less than the minimum time ago', async () => {
    const { agent, advance, nowMs } = await startAgent({ assetMemoryMb: 100, loaded: [base] });
    advance(MIN_RESIDENT_MS - 1);
    expect(planLoad(agent, [wanted], context(nowMs()))).toBeUndefined();
    agent.stop();
  });
});

describe('load orders', () => {
  test('a load that waits for a permit of the weight store does not block other loads', async () => {
    const { agent, ordered } = await startAgent({
      assetMemoryMb: 200,
      onDisk: ['cups-7b'],
      hasPermit: () => false,
    });
    agent.queueLoad(wanted);
    agent.queueLoad(base);
    expect(await ordered()).toEqual(['cups-7b']);
    agent.stop();
  });

  test('an adapter is not ordered before its model', async () => {
    const { agent, ordered } = await startAgent({
      assetMemoryMb: 200,
      onDisk: ['cups-7b/silver'],
      hasPermit: () => false,
    });
    agent.queueLoad(base);
    agent.queueLoad(adapter);
    expect(await ordered()).toEqual([]);
    agent.stop();
  });
});
