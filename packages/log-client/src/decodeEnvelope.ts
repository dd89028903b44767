import { Just, type Maybe, Nothing } from 'purify-ts';
import type Envelope from './Envelope';

/**
 * Parses an envelope. Returns `Nothing` for any other payload, which every fold skips.
 *
 * @example
 * decodeEnvelope(record.payload).ifJust((envelope) => apply(envelope));
 */
const decodeEnvelope = (payload: string): Maybe<Envelope> => {
  try {
    const value = JSON.parse(payload) as Partial<Envelope> | null;
    return typeof value?.id === 'string' ? Just(value as Envelope) : Nothing;
  } catch {
    return Nothing;
  }
};

export default decodeEnvelope;
