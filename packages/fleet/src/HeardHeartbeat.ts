/**
 * A heartbeat that was received: name, number and incarnation of its sender. Numbers begin anew with each incarnation, which
 * instances of an earlier build leave out.
 */
type HeardHeartbeat = readonly [name: string, number: number, incarnation?: string];

export default HeardHeartbeat;
