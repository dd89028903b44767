/** A holder does not go on with a fencing token when an engine says that it has seen a higher one. */
import VirtualClock from '@wisteriapath/virtual-clock';
import {
  type EngineControl,
  type EngineOrder,
  EngineContact,
  OrderAnswer,
  OrderKind,
} from '../src';
import EngineOrderExecutor from '../src/EngineOrderExecutor';
import builders from './support/builders';

const FENCE = 23;
const SETTLED_MS = 1_000;
const LOAD_MS = 100;

test.each([
  { answer: OrderAnswer.Fenced, reported: [FENCE] },
  { answer: OrderAnswer.Refused, reported: [] },
])(
  'an order answered $answer is not repeated, and the authority learns of $reported',
  async (given) => {
    const clock = new VirtualClock();
    const orders: EngineOrder[] = [];
    const observed: number[] = [];
    const entry = builders.target('engine', [], {});
    const view = { entry, models: entry.models };
    const control: EngineControl = {
      order: (_, order) => {
        orders.push(order);
        return Promise.resolve(given.answer);
      },
      report: () =>
        Promise.resolve({
          isBusy: false,
          orderCount: 4,
          models: new Map(),
          running: 0,
          waiting: 0,
        }),
      runs: () => Promise.resolve({ contact: EngineContact.Answered, unlisted: 0 }),
    };
    const parts = {
      clock,
      authority: {
        isHeld: () => true,
        isHeldWithin: () => true,
        holder: 'one',
        fence: FENCE,
        observeFenced: (fence: number) => observed.push(fence),
      },
      control,
      table: { get: () => view, applyPlacement: () => {} },
      log: { event: () => {} },
      publish: () => {},
    } as unknown as ConstructorParameters<typeof EngineOrderExecutor>[0];
    const executor = new EngineOrderExecutor(parts, view as never);
    expect(executor.isStateKnown).toBe(false);
    await clock.advance(SETTLED_MS);
    const applied = executor.applyChange(
      { kind: OrderKind.Load, model: 'm', adapter: null },
      LOAD_MS,
    );
    await clock.advance(SETTLED_MS);
    expect(await applied).toBe(false);
    expect(orders).toHaveLength(1);
    expect(observed).toEqual(given.reported);
  },
);
