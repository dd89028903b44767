/** A time on the monotonic clock and as time of day. */
interface Moment {
  readonly sentMs: number;
  readonly sentWallMs: number;
}

export default Moment;
