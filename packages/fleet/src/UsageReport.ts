/** What each workspace has used in one window. */
interface UsageReport {
  /** Number of the window; window k begins k times the window's length after 1970-01-01. */
  readonly window: number;
  /** Requests that engines began to answer, by workspace. */
  readonly counts: Readonly<Record<string, number>>;
}

export default UsageReport;
