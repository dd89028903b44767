import { Just, type Maybe, Nothing } from 'purify-ts';
import type Envelope from './Envelope';

/**
 * Reads an envelope; `Nothing` for payloads that are none, which every fold skips.
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
