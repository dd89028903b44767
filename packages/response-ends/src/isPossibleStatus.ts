const SWITCHING_PROTOCOLS = 101;
const LOWEST = 100;
const HIGHEST = 599;

/**
 * Whether a response to a request that asks for no other protocol can have this status, be it an interim one (RFC 9110, section 15).
 *
 * @example
 * isPossibleStatus(600); // false
 */
const isPossibleStatus = (status: number): boolean =>
  status >= LOWEST && status <= HIGHEST && status !== SWITCHING_PROTOCOLS;

export default isPossibleStatus;
