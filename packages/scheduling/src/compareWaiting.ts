import type RankedWork from './RankedWork';
import Urgency from './Urgency';
import agedPriority from './agedPriority';
import urgencyOf from './urgencyOf';

/**
 * The order of waiting work, for `Array.sort`: work that loses something soon comes first, by priority and then by the value that its
 * start keeps per engine time; then work that can wait, least slack first; last work for which nothing can be gained. It answers the
 * load of bursts of requests with objectives of seconds beside requests with objectives of half a second, at engines that
 * have to load a model for each.
 *
 * @example
 * works.sort(compareWaiting);
 */
const compareWaiting = (one: RankedWork, other: RankedWork): number => {
  const urgency = urgencyOf(one.slackMs);
  const byUrgency = urgency - urgencyOf(other.slackMs);
  if (byUrgency !== 0) return byUrgency;
  if (urgency === Urgency.Deferrable) return one.slackMs - other.slackMs;
  return agedPriority(one) - agedPriority(other) || other.valuePerMs - one.valuePerMs;
};

export default compareWaiting;
