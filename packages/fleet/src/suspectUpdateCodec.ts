import type { SuspectUpdate } from '@wisteriapath/suspects';
import type SuspectMessage from './SuspectMessage';

/**
 * Converts what instances tell each other about suspects to and from the form in which it is sent.
 *
 * @example
 * suspectUpdateCodec.decode(suspectUpdateCodec.encode(update));
 */
const suspectUpdateCodec = {
  encode: ({ crashes, clearances, probes }: SuspectUpdate): SuspectMessage => ({
    crashes,
    acquittals: clearances,
    trials: probes,
  }),
  decode: ({ crashes, acquittals, trials }: SuspectMessage): SuspectUpdate => ({
    crashes,
    clearances: acquittals,
    probes: trials,
  }),
};

export default suspectUpdateCodec;
