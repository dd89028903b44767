/** The host of a listener at all addresses, which is none to connect to. */
const ANY_HOST = '0.0.0.0';

/**
 * Returns whether a listener with this address listens at all addresses of its machine.
 *
 * @example
 * listensEverywhere('0.0.0.0:8224'); // true
 */
const listensEverywhere = (address: string): boolean => address.startsWith(`${ANY_HOST}:`);

export default listensEverywhere;
