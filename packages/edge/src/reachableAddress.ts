import listensEverywhere from './listensEverywhere';
import portOf from './portOf';

/**
 * Returns the address at which a listener of this instance can be called: its own, or the instance's host if it listens at all.
 *
 * @example
 * reachableAddress('0.0.0.0:8224', '10.1.0.25'); // '10.1.0.25:8224'
 */
const reachableAddress = (address: string, host: string): string =>
  listensEverywhere(address) ? `${host}:${portOf(address)}` : address;

export default reachableAddress;
