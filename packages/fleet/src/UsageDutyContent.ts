/** What the heartbeat of a placer says of the usage duty. */
interface UsageDutyContent {
  /** Era and offset of the duty's lease record under which the sender performs it; `null` if it does not. */
  readonly lease: readonly [number, number] | null;
  /** The newest window of which the sender knows that it and all before it are decided; -1 if it knows none. */
  readonly decidedThrough: number;
  /** Between which times the true time lay when the heartbeat was sent; `null` if it is not known. */
  readonly time: readonly [number, number] | null;
}

export default UsageDutyContent;
