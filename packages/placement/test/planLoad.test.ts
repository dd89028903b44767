/** Which engine loads what, what goes for it, and in which order the orders are sent. */
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

describe('a plan to load', () => {
  test('evicts an idle model together with its idle adapters', async () => {
    const { agent, pass, nowMs } = await startAgent({
      assetMemoryMb: 100,
      loaded: [base, adapter],
    });
    pass(MIN_RESIDENT_MS);
    const plan = planLoad(agent, [wanted], context(nowMs()));
    expect(plan?.evictions.map(({ id }) => id)).toEqual(['cups-7b/silver', 'cups-7b']);
    agent.stop();
  });

  test('keeps a model whose adapter is in use', async () => {
    const { agent, pass, nowMs } = await startAgent({
      assetMemoryMb: 100,
      loaded: [base, adapter],
    });
    pass(MIN_RESIDENT_MS);
    const ask = { holder: 'entry-a1', wantSlots: 1, demand: [], inflight: 0, heldSlots: 0 };
    agent.slots.grant({ ...ask, assetIds: [base.id, adapter.id] }, 4);
    expect(planLoad(agent, [wanted], context(nowMs()))).toBeUndefined();
    agent.stop();
  });

  test('keeps what has just been loaded', async () => {
    const { agent, pass, nowMs } = await startAgent({ assetMemoryMb: 100, loaded: [base] });
    pass(MIN_RESIDENT_MS - 1);
    expect(planLoad(agent, [wanted], context(nowMs()))).toBeUndefined();
    agent.stop();
  });
});

describe('orders to load', () => {
  test('a load that waits for a permit of the store holds up no other', async () => {
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
