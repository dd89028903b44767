/** The authority under which a duty is performed. */
interface DutyAuthority {
  /** Name of the machine. */
  readonly holder: string;
  /** Fencing token of its lease. */
  readonly fence: number;
  /**
   * Whether the authority still holds. Called in the turn of the event loop in which the call is written to an open
   * connection, because the platform does not check the token: a process that was frozen before must not write.
   */
  readonly isHeld: () => boolean;
}

export default DutyAuthority;
