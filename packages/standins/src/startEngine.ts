import { randomUUID } from 'node:crypto';
import EngineCompletions from './EngineCompletions';
import EngineMemory from './EngineMemory';
import type EngineOptions from './EngineOptions';
import type RunningStandin from './RunningStandin';
import readJson from './readJson';
import startStandin from './startStandin';

interface Order {
  readonly kind: 'load' | 'unload' | 'fence';
  readonly assetId: string;
  readonly sizeMb: number;
  readonly fencing: number;
  readonly sequence: number;
}

const DEFAULTS: Required<EngineOptions> = {
  port: 0,
  memoryMb: 80_000,
  capacity: 16,
  freshCapacity: 4,
  warmAfter: 8,
  fencing: true,
  tokenMs: 2,
  endLagMs: 0,
  memoryTierMs: 50,
  diskTierMs: 200,
  remoteTierMs: 400,
  cached: {},
  weightStoreUrl: '',
  reportLagMs: 0,
};
const PRECONDITION_FAILED = 412;
const NO_ORDER = { fencing: 0, sequence: 0 };

/**
 * Starts an engine stand-in with OpenAI-compatible completions, load and unload orders, and bounded
 * memory. It restarts when it gets more concurrent requests than it can handle, and can handle
 * fewer while it is not warm.
 *
 * @example
 * const engine = await startEngine({ capacity: 8, fencing: false });
 */
const startEngine = (givenOptions: EngineOptions = {}): Promise<RunningStandin> => {
  const options = { ...DEFAULTS, ...givenOptions };
  const orders = { taken: 0, staleRefused: 0, staleTaken: 0 };
  let incarnation: string = randomUUID();
  let lastOrder = NO_ORDER;
  const memory = new EngineMemory(options);
  const completions = new EngineCompletions(options, memory, () => {
    incarnation = randomUUID();
  });

  const loadReport = () => ({
    incarnation,
    inflight: completions.counts.inflight,
    finished: completions.counts.finishedSinceStart,
    lastOrder,
    assets: memory.report(),
    tiers: memory.tierReport(),
  });
  let laggedReport = loadReport();
  const isReportLagged = options.reportLagMs > 0;
  const reportTimer = setInterval(
    () => {
      laggedReport = loadReport();
    },
    isReportLagged ? options.reportLagMs : 60_000,
  );

  const orderHandlers: Readonly<Record<Order['kind'], (order: Order) => void>> = {
    load: (order) => memory.load(order.assetId, order.sizeMb),
    unload: (order) => memory.unload(order.assetId),
    fence: () => {},
  };

  /**
   * Returns whether the order is accepted. A stale one is accepted if the engine ignores fencing
   * tokens.
   */
  const acceptOrder = (order: Order): boolean => {
    const isStale = order.fencing < lastOrder.fencing;
    if (isStale && options.fencing) {
      orders.staleRefused += 1;
      return false;
    }
    if (isStale) orders.staleTaken += 1;
    else lastOrder = { fencing: order.fencing, sequence: order.sequence };
    orders.taken += 1;
    orderHandlers[order.kind](order);
    return true;
  };

  return startStandin({
    port: options.port,
    state: () => ({
      ...completions.counts,
      ...memory.counts,
      orders,
      usedMb: memory.usedMb(),
      assets: memory.report(),
      tokensByWorkspace: completions.tokensByWorkspace,
    }),
    onFault: (fault) => {
      if (typeof fault.crashOn === 'string') completions.crashOn = fault.crashOn;
      if (fault.turnCold === true) completions.restart();
    },
    onClose: () => clearInterval(reportTimer),
    routes: (router) => {
      router.post(['/v1/chat/completions', '/v1/completions'], (context) =>
        completions.complete(context),
      );
      router.get('/load', (context) => {
        context.body = isReportLagged ? laggedReport : loadReport();
      });
      router.post('/orders', async (context) => {
        const isAccepted = acceptOrder(await readJson<Order>(context));
        context.status = isAccepted ? 200 : PRECONDITION_FAILED;
        context.body = {};
      });
    },
  });
};

export default startEngine;
