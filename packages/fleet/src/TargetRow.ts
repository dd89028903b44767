/**
 * What one instance measured of a target: `[id, pace, load, work time, start]`. The pace is the time between two events of a usual
 * model at the usual work time (of a service: the time to a response) in 0.1 ms, 0 if not measured. The load is in requests. The work
 * time is that of slow spans, in percent of what is usual. The start distinguishes two lives of a target.
 */
type TargetRow = readonly [string, number, number, number, number];

export default TargetRow;
