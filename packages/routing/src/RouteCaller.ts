import { type Either, Left, Right } from 'purify-ts';
import { type Clock, ErrorKind, ServeError } from '@wisteriapath/model';
import { inService, type RouteFeeder, type Slot } from '@wisteriapath/placement';
import type { ConfigState } from '@wisteriapath/config';
import type CallContext from './CallContext';
import type RoutingEvent from './RoutingEvent';

interface Parts {
  readonly clock: Clock;
  readonly config: () => ConfigState;
  readonly feederOf: (routeName: string) => RouteFeeder;
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
class RouteCaller {
  constructor(private readonly parts: Parts) {}

  /** A slot that may be used at once; its holder must release it. */
  async slotFor(context: CallContext, wish: Wish): Promise<Either<ServeError, Slot>> {
    const { call, deadline, weight } = context;
    const startedMs = this.parts.clock.nowMs();
    const acquired = await this.parts.feederOf(call.routeName).acquire({
      workspace: call.caller.workspace ?? '',
      weight,
      requestClass: call.route.requestClass,
      cost: wish.cost,
      deadline,
      isExcluded: wish.isExcluded,
      preferred: wish.preferred,
    });
    return acquired.chain((slot) => this.checked(context, wish, slot, startedMs));
  }

  private checked(
    context: CallContext,
    wish: Wish,
    slot: Slot,
    startedMs: number,
  ): Either<ServeError, Slot> {
    const allowed = context.recheck().chain((call) => {
      const stillThere = call.pool.targets[slot.target]?.url === slot.url;
      if (stillThere && inService(this.parts.config(), slot.failureDomain)) return Right(slot);
      const message = 'the target was taken out while the request waited';
      return Left(ServeError.notRun(ErrorKind.NoTarget, message));
    });
    if (allowed.isLeft()) slot.cancel();
    else this.log(context, wish, slot, startedMs);
    return allowed;
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

export default RouteCaller;
