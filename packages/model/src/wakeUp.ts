/** The default reason of an abort is an exception, which costs a stack trace. */
const REASON = 'ended';

/**
 * Ends what waits on the signal of a controller, such as a sleep of a clock.
 *
 * @example
 * await Promise.all([clock.sleep(1_000, controller.signal), wakeUp(controller)]);
 */
const wakeUp = (controller: AbortController): void => controller.abort(REASON);

export default wakeUp;
