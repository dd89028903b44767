/**
 * What all instances together know of a target: `[id, slowness, load, work time, start]`. The slowness is the time between events at
 * the usual work time, the work time that of slow spans, both in percent of what is usual in the pool. The load is in requests.
 */
type DigestRow = readonly [string, number, number, number, number];

export default DigestRow;
