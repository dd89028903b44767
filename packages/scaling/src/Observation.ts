/** What was known of one service in one failure domain at one moment. */
interface Observation {
  readonly atMs: number;
  /** Engines that may be given work. */
  readonly ready: number;
  /** Engines that are draining. */
  readonly leaving: number;
  /** Requests that the ready engines can run at once. */
  readonly places: number;
  /** Requests that run or are queued on the engines of the failure domain. */
  readonly busy: number;
  /** The failure domain's share of the requests that wait for a model to be loaded. */
  readonly waiting: number;
  /** Requests per second of the service, in all failure domains. */
  readonly ratePerS: number;
}

export default Observation;
