/**
 * Returns the time of day in Unix milliseconds. Unlike the monotonic clock, it may jump, and it
 * advances while the machine is suspended.
 */
type WallClock = () => number;

export default WallClock;
