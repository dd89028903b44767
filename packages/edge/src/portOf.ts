/**
 * Returns the port of an address; NaN if it has none.
 *
 * @example
 * portOf('10.1.0.25:8221'); // 8221
 */
const portOf = (address: string): number => Number(address.split(':').at(-1));

export default portOf;
