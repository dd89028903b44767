import { type Either, Left } from 'purify-ts';
import type { Clock, ServeError } from '@wisteriapath/model';
import type { CheckedCall } from '@wisteriapath/admission';
import { isInService, type RouteQueue, type Slot } from '@wisteriapath/placement';
import type { ConfigState } from '@wisteriapath/config';
import type CallContext from './CallContext';
import type RoutingEvent from './RoutingEvent';

interface Parts {
  readonly clock: Clock;
  readonly config: () => ConfigState;
  /** Returns the queue of a route. */
  readonly queueOf: (routeName: string) => RouteQueue;
  readonly logDecision: (event: RoutingEvent) => void;
}

/** The slot that one attempt needs. */
interface SlotRequirements {
  /** Number of the attempt; the first one is 1. */
  readonly attempt: number;
  /** Cost of the request in fair queueing: tokens for models, 1 for services. */
  readonly cost: number;
  /** Returns whether the attempt must not use a target. */
  readonly isExcluded: (target: string) => boolean;
  /** Returns the preferred one of the given targets; undefined for no preference. */
  readonly findPreferred: (targets: readonly string[]) => string | undefined;
  /** Reason of the attempt, for the log. */
  readonly reason: string;
}

/** Acquires slots on targets for requests, and checks each call again once it has a slot. */
class SlotAcquirer {
  constructor(private readonly parts: Parts) {}

  /**
   * Acquires a slot that can be used at once. The holder must release it. If the target was removed
   * from service during the wait, another one is used.
   */
  async acquire(
    context: CallContext,
    requirements: SlotRequirements,
  ): Promise<Either<ServeError, Slot>> {
    const { call, deadline, weight } = context;
    const startedMs = this.parts.clock.nowMs();
    const removedTargets = new Set<string>();
    for (;;) {
      const acquired = await this.parts.queueOf(call.routeName).acquire({
        workspace: call.caller.workspace ?? '',
        weight,
        requestClass: call.route.requestClass,
        cost: requirements.cost,
        deadline,
        isExcluded: (target) => removedTargets.has(target) || requirements.isExcluded(target),
        findPreferred: requirements.findPreferred,
      });
      if (acquired.isLeft()) return acquired;
      const slot = acquired.unsafeCoerce();
      const checked = context.recheck();
      if (checked.isRight() && this.canReceiveRequests(checked.unsafeCoerce(), slot)) {
        this.logRoutingDecision(context, requirements, slot, startedMs);
        return acquired;
      }
      slot.cancel();
      if (checked.isLeft()) return Left(checked.extract());
      removedTargets.add(slot.target);
    }
  }

  /** Returns whether the slot's target may still receive new requests by the configuration. */
  private canReceiveRequests(call: CheckedCall, slot: Slot): boolean {
    const isListed = call.pool.targets[slot.target]?.url === slot.url;
    return isListed && isInService(this.parts.config(), slot.failureDomain);
  }

  private logRoutingDecision(
    context: CallContext,
    requirements: SlotRequirements,
    slot: Slot,
    startedMs: number,
  ): void {
    this.parts.logDecision({
      requestId: context.requestId,
      route: context.call.routeName,
      workspace: context.call.caller.workspace ?? '',
      attempt: requirements.attempt,
      target: slot.target,
      failureDomain: slot.failureDomain,
      candidates: slot.candidates,
      waitedMs: Math.round(this.parts.clock.nowMs() - startedMs),
      reason: requirements.reason,
    });
  }
}

export default SlotAcquirer;
