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
  /** Permits of the weight store that each failure domain has. */
  readonly storeLoadsAtOnce: number;
}

interface ColdStart {
  readonly waitMs: number;
  /** The least time for what was not ready, from its tiers when nothing else goes on. */
  readonly uncontendedMs: number;
}

interface ReplayFigures {
  /** Requests that waited for a load ordered after they came. */
  readonly coldStarts: readonly ColdStart[];
  readonly waitsMs: readonly number[];
  readonly refused: number;
  readonly loads: number;
  readonly decisions: number;
  /** Hours of one engine's whole memory held by replicas that nobody used. */
  readonly idleEngineHours: number;
}

const HOUR_MS = 3_600_000;
const DEADLINE_MS = 60_000;

/**
 * Replays a trace through the placers and the instances' queues on a virtual clock.
 *
 * @example
 * const { coldStarts } = await replayColdTrace({ deployment, trace, retention, idleUnloadMs });
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
      .map((load) => Math.min(load.uncontendedMs, load.orderedMs + load.uncontendedMs - request.atMs))
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
