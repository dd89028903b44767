import Urgency from './Urgency';
import urgentSlackMs from './urgentSlackMs';

/**
 * Returns the class of work with a given slack.
 *
 * @example
 * urgencyOf(3_200); // Urgency.Deferrable
 */
const urgencyOf = (slackMs: number): Urgency => {
  if (slackMs < 0) return Urgency.Expired;
  return slackMs <= urgentSlackMs ? Urgency.Urgent : Urgency.Deferrable;
};

export default urgencyOf;
