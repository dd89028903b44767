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
  readonly feederOf: (routeName: string) => RouteQueue;
  readonly logDecision: (event: RoutingEvent) => void;
}

interface Wish {
  readonly attempt: number;
  readonly cost: number;
  readonly isExcluded: (target: string) => boolean;
  readonly preferred: (targets: readonly string[]) => string | undefined;
  readonly reason: string;
}

/** Gets a request a slot on a target, and checks the call again when it has one. */
class SlotAcquirer {
  constructor(private readonly parts: Parts) {}

  /**
   * A slot that may be used at once; its holder must release it. A target that was taken out during
   * the wait is passed over for another.
   */
  async slotFor(context: CallContext, wish: Wish): Promise<Either<ServeError, Slot>> {
    const { call, deadline, weight } = context;
    const startedMs = this.parts.clock.nowMs();
    const takenOut = new Set<string>();
    for (;;) {
      const acquired = await this.parts.feederOf(call.routeName).acquire({
        workspace: call.caller.workspace ?? '',
        weight,
        requestClass: call.route.requestClass,
        cost: wish.cost,
        deadline,
        isExcluded: (target) => takenOut.has(target) || wish.isExcluded(target),
        findPreferred: wish.preferred,
      });
      if (acquired.isLeft()) return acquired;
      const slot = acquired.unsafeCoerce();
      const checked = context.recheck();
      if (checked.isRight() && this.takesWork(checked.unsafeCoerce(), slot)) {
        this.log(context, wish, slot, startedMs);
        return acquired;
      }
      slot.cancel();
      if (checked.isLeft()) return Left(checked.extract());
      takenOut.add(slot.target);
    }
  }

  /** Whether the configuration still lets the slot's target take new work. */
  private takesWork(call: CheckedCall, slot: Slot): boolean {
    const isListed = call.pool.targets[slot.target]?.url === slot.url;
    return isListed && isInService(this.parts.config(), slot.failureDomain);
  }

  private log(context: CallContext, wish: Wish, slot: Slot, startedMs: number): void {
    this.parts.logDecision({
      requestId: context.requestId,
      route: context.call.routeName,
      workspace: context.call.caller.workspace ?? '',
      attempt: wish.attempt,
      target: slot.target,
      failureDomain: slot.failureDomain,
      candidates: slot.candidates,
      waitedMs: Math.round(this.parts.clock.nowMs() - startedMs),
      reason: wish.reason,
    });
  }
}

export default SlotAcquirer;
