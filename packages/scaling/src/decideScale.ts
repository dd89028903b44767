import type ScalingDecision from './ScalingDecision';
import ScalingReason from './ScalingReason';
import type ScalingView from './ScalingView';
import decideMore from './decideMore';
import findDoubt from './findDoubt';
import findNeed from './findNeed';

const decideLess = (view: ScalingView): ScalingDecision => {
  const need = findNeed(view);
  if (need !== undefined) return { desired: undefined, reason: need };
  return { desired: view.observations.at(-1)!.ready - 1, reason: ScalingReason.Spare };
};

/**
 * Decides how many engines a service should have in a failure domain. Answers demand that stays changed for longer than
 * an engine takes to start and to load a model; in doubt the number stays as it is.
 *
 * @example
 * const { desired, reason } = decideScale(view);
 */
const decideScale = (view: ScalingView): ScalingDecision => {
  const doubt = findDoubt(view);
  if (doubt !== undefined) return { desired: undefined, reason: doubt };
  const decision = decideMore(view) ?? decideLess(view);
  const isStanding = decision.desired !== undefined && decision.desired === view.ordered?.count;
  return isStanding ? { desired: undefined, reason: ScalingReason.OrderStands } : decision;
};

export default decideScale;
