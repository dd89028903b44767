const BEARER = /^Bearer\s+(\S+)$/i;

/**
 * Returns the secret of an `Authorization: Bearer` header; undefined if there is none.
 *
 * @example
 * bearerSecret('Bearer s3cret'); // 's3cret'
 */
const bearerSecret = (header: string | undefined): string | undefined =>
  BEARER.exec(header ?? '')?.[1];

export default bearerSecret;
