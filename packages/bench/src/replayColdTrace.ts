import { Deadline } from '@wisteriapath/model';
import { assetsOf, type RetentionPolicy, type Slot, TargetOutcome } from '@wisteriapath/placement';
import type ColdTrace from './ColdTrace';
import type Deployment from './Deployment';
import createVirtualSystem from './createVirtualSystem';

interface ReplayOptions {
  readonly deployment: Deployment;
  readonly trace: ColdTrace;
  readonly retention: RetentionPolicy;
  readonly idleUnloadMs: number;
  /** Limit on concurrent loads from the weight store in each failure domain. */
  readonly storeLoadsAtOnce: number;
}

interface ColdStart {
  readonly waitMs: number;
  /** Least time to load what was not ready, from its storage tiers and without contention. */
  readonly uncontendedMs: number;
}

interface ReplayFigures {
  /** Requests that waited for a load ordered after their arrival. */
  readonly coldStarts: readonly ColdStart[];
  readonly waitsMs: readonly number[];
  readonly refused: number;
  readonly loads: number;
  readonly decisions: number;
  /**
   * Idle memory over time, in hours of the whole memory of one engine; idle is what no request
   * uses.
   */
  readonly idleEngineHours: number;
}

const HOUR_MS = 3_600_000;
const DEADLINE_MS = 60_000;

/**
 * Replays a trace through the placers and the route queues of the instances on a virtual clock.
 *
 * @example
 * const { coldStarts } = await replayColdTrace({ ...policy, deployment, trace, storeLoadsAtOnce: 1 });
 */
const replayColdTrace = async (options: ReplayOptions): Promise<ReplayFigures> => {
  const { trace, ...rest } = options;
  const system = createVirtualSystem({ ...rest, routes: trace.routes });
  const { clock, engines, engineAt, queueOf } = system;

  const coldStarts: ColdStart[] = [];
  const waitsMs: number[] = [];
  let refused = 0;
  const serve = async (request: ColdTrace['requests'][number], slot: Slot): Promise<void> => {
    const engine = engineAt(slot.url);
    const assetIds = assetsOf(trace.routes.get(request.route)!).map((asset) => asset.id);
    const waitMs = clock.nowMs() - request.atMs;
    waitsMs.push(waitMs);
    const loads = assetIds.flatMap((id) => engine.latestLoad(id) ?? []);
    const uncontendedMs = loads
      .map((load) =>
        Math.min(load.uncontendedMs, load.orderedMs + load.uncontendedMs - request.atMs),
      )
      .reduce((sum, restMs) => sum + Math.max(0, restMs), 0);
    const isCold = loads.some(({ orderedMs }) => orderedMs >= request.atMs);
    if (isCold) coldStarts.push({ waitMs, uncontendedMs });
    engine.changeUsers(assetIds, 1);
    await clock.sleep(request.serviceMs);
    engine.changeUsers(assetIds, -1);
    slot.release(TargetOutcome.Succeeded);
  };
  const sendRequest = async (request: ColdTrace['requests'][number]): Promise<void> => {
    const slot = await queueOf(request.instance, request.route).acquire({
      workspace: 'bench',
      weight: 1,
      requestClass: trace.routes.get(request.route)!.requestClass,
      cost: 1,
      deadline: Deadline.after(clock, DEADLINE_MS),
      isExcluded: () => false,
      findPreferred: () => undefined,
    });
    if (slot.isLeft()) refused += 1;
    else await serve(request, slot.unsafeCoerce());
  };
  for (const request of trace.requests) {
    await clock.runUntil(request.atMs);
    void sendRequest(request);
  }
  await clock.runUntil((trace.requests.at(-1)?.atMs ?? 0) + DEADLINE_MS);
  system.stop();
  engines.forEach((engine) => engine.updateIdleMemory());
  const idleMbMs = engines.reduce((sum, engine) => sum + engine.idleMbMs, 0);
  return {
    coldStarts,
    waitsMs,
    refused,
    loads: engines.reduce((sum, engine) => sum + engine.loads, 0),
    decisions: system.decisionCount(),
    idleEngineHours: idleMbMs / system.memoryMb / HOUR_MS,
  };
};

export default replayColdTrace;
