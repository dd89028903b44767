/** An order whose answer is unknown, as it may be the copy of an earlier refusal, is neither carried out twice nor waited for without end. */
import { systemClock } from '@wisteriapath/model';
import EngineContact from '../src/EngineContact';
import type EngineControl from '../src/EngineControl';
import EngineOrderExecutor from '../src/EngineOrderExecutor';
import OrderAnswer from '../src/OrderAnswer';
import OrderKind from '../src/OrderKind';
import type RegisteredTarget from '../src/RegisteredTarget';

const LOAD_MS = 150;
/** Beyond the lag of reports and the wait before the first one. */
const SETTLED_MS = 1_500;
const entry = { id: 'engine', bornMs: 1, models: new Map() } as unknown as RegisteredTarget;
const load = { kind: OrderKind.Load, model: 'm', adapter: null };

/** An engine that takes one model. It loses its order while `isForgetful`; the first answers are replaced by the given ones. */
class Engine implements EngineControl {
  accepted = 0;

  private loadedAtMs = Infinity;

  constructor(
    private readonly replaced: (OrderAnswer | undefined)[],
    private readonly isForgetful = false,
  ) {}

  order(_: RegisteredTarget, { expectedCount }: { expectedCount: number }): Promise<OrderAnswer> {
    const answer = this.answer(expectedCount);
    return Promise.resolve(this.replaced.shift() ?? answer);
  }

  report() {
    const models = new Map(this.isLoaded ? [['m', new Set<string>()]] : []);
    const orderCount = this.accepted;
    return Promise.resolve({ isBusy: this.isBusy, orderCount, models, running: 0, waiting: 0 });
  }

  runs() {
    return Promise.resolve({ contact: EngineContact.Answered, unlisted: this.isBusy ? 1 : 0 });
  }

  private get isLoaded(): boolean {
    return performance.now() >= this.loadedAtMs;
  }

  private get isBusy(): boolean {
    return this.loadedAtMs !== Infinity && !this.isLoaded;
  }

  private answer(expectedCount: number): OrderAnswer {
    if (this.isLoaded) return OrderAnswer.AlreadyApplied;
    if (this.isBusy || expectedCount !== this.accepted) return OrderAnswer.Conflict;
    this.accepted += 1;
    if (!this.isForgetful) this.loadedAtMs = performance.now() + LOAD_MS;
    return OrderAnswer.Accepted;
  }
}

const createExecutor = async (control: Engine) => {
  const view = { entry, models: entry.models };
  const parts = {
    clock: systemClock,
    authority: { isHeld: () => true, holder: 'one', fence: 1 },
    control,
    table: { get: () => view, applyPlacement: () => {} },
    log: { event: () => {} },
    publish: () => {},
  } as unknown as ConstructorParameters<typeof EngineOrderExecutor>[0];
  const executor = new EngineOrderExecutor(parts, view as never);
  expect(executor.isStateKnown).toBe(false);
  await systemClock.sleep(SETTLED_MS / 2);
  expect(executor.isStateKnown).toBe(true);
  return executor;
};

test.each([
  ['its acceptance', [OrderAnswer.Unknown]],
  ['its acceptance and a conflict', [OrderAnswer.Unknown, OrderAnswer.Unknown]],
  ['a conflict while it is carried out', [undefined, OrderAnswer.Unknown]],
])(
  'an order is carried out once when the answer is unknown in place of %s',
  async (_, replaced) => {
    const engine = new Engine(replaced);
    const executor = await createExecutor(engine);
    expect(await executor.applyChange(load, LOAD_MS / 2)).toBe(true);
    expect(engine.accepted).toBe(1);
  },
);

test('an accepted order that its engine has lost ends, though a refusal among its answers is unknown', async () => {
  const engine = new Engine([undefined, OrderAnswer.Unknown], true);
  // Further orders meet this conflict.
  const executor = await createExecutor(engine);
  const startedMs = performance.now();
  const applied = executor.applyChange(load, LOAD_MS);
  await systemClock.sleep(LOAD_MS / 2);
  engine.accepted += 1;
  expect(await applied).toBe(false);
  expect(performance.now() - startedMs).toBeLessThan(SETTLED_MS);
});
