import { type HeartbeatContent, suspectUpdateCodec } from '@wisteriapath/fleet';
import type { SuspectRegistry } from '@wisteriapath/suspects';

/** Fraction of the heartbeats that repeat what is quarantined. */
const REPEATED_FRACTION = 0.2;

/**
 * Returns a few of the quarantined traits for a heartbeat, and `null` for most heartbeats, or if there are none.
 *
 * @example
 * const content = { ...others, suspects: repeatedSuspects(registry) };
 */
const repeatedSuspects = (registry: SuspectRegistry): HeartbeatContent['suspects'] => {
  const update = Math.random() < REPEATED_FRACTION ? registry.repeatQuarantines() : null;
  return update === null ? null : suspectUpdateCodec.encode(update);
};

export default repeatedSuspects;
