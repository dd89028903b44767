import { createHash } from 'node:crypto';

/**
 * Returns the SHA-256 of a buffer or a UTF-8 text, in hexadecimal.
 *
 * @example
 * const stored = sha256Hex(secret);
 */
const sha256Hex = (text: string | Buffer): string =>
  createHash('sha256').update(text).digest('hex');

export default sha256Hex;
