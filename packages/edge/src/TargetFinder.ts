import type { TargetView } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import type ChosenTarget from './ChosenTarget';
import type EdgeParts from './EdgeParts';

interface Search {
  /** Targets that are not to be chosen, until when. */
  readonly excluded: ReadonlyMap<string, number>;
  /** When the search ends. */
  readonly untilMs: number;
  /** Whether the request may no longer be sent, however many targets there are. */
  readonly isOver: () => boolean;
}

/** Part of a target's places that being in another failure domain is worth. */
const OTHER_DOMAIN_COST = 0.12;
const LOOK_AGAIN_MS = 25;

/** Chooses targets for requests, and waits for them where none can be had. */
class TargetFinder {
  constructor(private readonly parts: EdgeParts) {}

  /** The best target with a place on it; undefined if none could be had in time. */
  async find(request: AdmittedRequest, search: Search): Promise<ChosenTarget | undefined> {
    const { clock, table, waiting, loads, lastSendAtMs } = this.parts;
    const { pool, route, fields } = request;
    // Entered once, so that the placers hear how long the request has waited.
    let leave: (() => void) | undefined;
    try {
      for (;;) {
        if (search.isOver()) return undefined;
        const chosen = this.choose(request, search.excluded);
        if (chosen !== undefined) return chosen;
        const leftMs = Math.min(search.untilMs, lastSendAtMs()) - clock.nowMs();
        if (leftMs <= 0) return undefined;
        const isAbsent =
          pool.engine !== null &&
          !table
            .holding(pool.name, fields.model, fields.adapter)
            .some(({ entry }) => loads.isReachable(entry.id));
        if (isAbsent) {
          leave ??= waiting.add(pool.name, fields.model, fields.adapter, route.latencyTargetMs);
        } else {
          leave?.();
          leave = undefined;
        }
        await Promise.race([
          table.changes.next(),
          clock.sleep(Math.min(leftMs, isAbsent ? LOOK_AGAIN_MS * 4 : LOOK_AGAIN_MS)),
        ]);
      }
    } finally {
      leave?.();
    }
  }

  /** Takes a place on the best target before any other request can look. */
  private choose(
    request: AdmittedRequest,
    excluded: ReadonlyMap<string, number>,
  ): ChosenTarget | undefined {
    const { loads, coldGate } = this.parts;
    const { pool, fields } = request;
    const { model, adapter, attemptId } = fields;
    const view = this.ranked(request, excluded).find((one) =>
      coldGate.take(one, pool.coldPerS, attemptId),
    );
    return view && { view, passage: loads.enter(view.entry.id, model, adapter) };
  }

  /** The targets that could take a request, the best first. */
  private ranked(
    { pool, fields }: AdmittedRequest,
    excluded: ReadonlyMap<string, number>,
  ): readonly TargetView[] {
    const { clock, table, loads, connectionLimit, failureDomain } = this.parts;
    const nowMs = clock.nowMs();
    const limit = connectionLimit(pool.maxConnections);
    const views =
      pool.engine === null
        ? table.inService(pool.name)
        : table.holding(pool.name, fields.model, fields.adapter);
    const usable = views.filter(
      ({ entry }) =>
        (excluded.get(entry.id) ?? 0) <= nowMs &&
        loads.isReachable(entry.id) &&
        loads.own(entry.id) < limit,
    );
    const costs = usable.map((view) => {
      const away = view.entry.failureDomain === failureDomain ? 0 : OTHER_DOMAIN_COST;
      const cold = view.coldUntilMs > nowMs ? 1 : 0;
      return { view, cost: loads.cost(view.entry) + away + cold + Math.random() * 0.01 };
    });
    costs.sort((one, other) => one.cost - other.cost);
    return costs.map(({ view }) => view);
  }
}

export default TargetFinder;
