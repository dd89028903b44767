/** The host of a listener at all addresses, which is none to connect to. */
const ANY_HOST = '0.0.0.0';

/**
 * Returns the address at which a listener of this instance can be called: its own, or the instance's host if it listens at all.
 *
 * @example
 * reachableAddress('0.0.0.0:8224', '10.1.0.25'); // '10.1.0.25:8224'
 */
const reachableAddress = (address: string, host: string): string =>
  address.startsWith(`${ANY_HOST}:`) ? host + address.slice(ANY_HOST.length) : address;

export default reachableAddress;
