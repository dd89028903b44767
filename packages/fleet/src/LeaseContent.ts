/** What a holder writes about its lease. */
interface LeaseContent {
  /** Machine name and incarnation of the holder, as `name#incarnation`. */
  readonly holder: string;
  /** Whether the holder releases the lease. */
  readonly released: boolean;
  /** Whether the holder may give orders; false while it still waits after a takeover. */
  readonly isSettled: boolean;
}

export default LeaseContent;
