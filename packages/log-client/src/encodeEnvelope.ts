import type Envelope from './Envelope';

/**
 * Serializes an envelope into the payload of a record.
 *
 * @example
 * await log.append('config', [encodeEnvelope({ id, body })]);
 */
const encodeEnvelope = (envelope: Envelope): string => JSON.stringify(envelope);

export default encodeEnvelope;
