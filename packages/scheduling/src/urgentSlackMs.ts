/**
 * Slack below which work loses something if one other load goes first: a load from a copy (759 ms) with an unload (88 ms), and the
 * longest interval between two demand reports of an instance (300 ms), rounded up.
 */
const urgentSlackMs = 1_200;

export default urgentSlackMs;
