import { type Clock, rendezvousOrder } from '@wisteriapath/model';
import type PlannedLoad from './PlannedLoad';

interface Parts {
  readonly clock: Clock;
  /** Failure domain whose engines this placer controls. */
  readonly failureDomain: string;
  /** Failure domains with an active placer, this one included. */
  readonly activeDomains: () => readonly string[];
}

/** Time for which the placer of the better engine may load a model, before the first of the others does. */
const COPY_LOAD_WAIT_MS = 350;
/** The same for a load from the weight store. */
const STORE_LOAD_WAIT_MS = 1_000;

/**
 * The models that this placer leaves to that of a better engine, which sees the same demand. Where that one does not
 * load a model, the others step in one after the other, so that they do not all load it.
 */
class LeftLoads {
  private readonly sinceMs = new Map<string, number>();

  constructor(private readonly parts: Parts) {}

  /** Returns whether it is this placer's turn to load a model, whose best plan is that of another placer or none. */
  isOwnTurn({ model, fromStore }: PlannedLoad, bestPlan: PlannedLoad | undefined): boolean {
    const { clock, failureDomain, activeDomains } = this.parts;
    const bestDomain = bestPlan?.view.entry.failureDomain;
    const others = activeDomains().filter((domain) => domain !== bestDomain);
    const rank = rendezvousOrder(model, others).indexOf(failureDomain);
    const waitMs = fromStore ? STORE_LOAD_WAIT_MS : COPY_LOAD_WAIT_MS;
    const sinceMs = this.sinceMs.get(model) ?? clock.nowMs();
    this.sinceMs.set(model, sinceMs);
    return clock.nowMs() - sinceMs >= waitMs * (1 + rank);
  }

  /** Forgets a model that is being loaded, or that no engine can take now. */
  clear(model: string): void {
    this.sinceMs.delete(model);
  }

  /** Forgets all models but those that requests wait for. */
  retain(models: ReadonlySet<string>): void {
    [...this.sinceMs.keys()]
      .filter((model) => !models.has(model))
      .forEach((model) => this.sinceMs.delete(model));
  }
}

export default LeftLoads;
