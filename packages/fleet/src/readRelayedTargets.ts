import type RecordSpan from './RecordSpan';
import recordSpanCodec from './recordSpanCodec';

/**
 * Returns the records of targets in a relayed message, and the name of the instance that relays them. Throws if they cannot be read.
 *
 * @example
 * handlers.targets(...readRelayedTargets(payload));
 */
const readRelayedTargets = ([sender, bytes]: readonly [string, Uint8Array]): [
  span: RecordSpan,
  sender: string,
] => [recordSpanCodec.decode(bytes), sender];

export default readRelayedTargets;
