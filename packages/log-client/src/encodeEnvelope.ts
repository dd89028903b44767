import type Envelope from './Envelope';

/**
 * Payload text of an envelope.
 *
 * @example
 * await log.append('config', [encodeEnvelope({ id, body })]);
 */
const encodeEnvelope = (envelope: Envelope): string => JSON.stringify(envelope);

export default encodeEnvelope;
