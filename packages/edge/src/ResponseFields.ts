/** The metadata of a target's response, read from its status and headers. */
interface ResponseFields {
  /** Id of the attempt that the response belongs to; empty if absent. */
  readonly attemptId: string;
  /** Whether the response carries the receipt that proves that the target produced it. */
  readonly hasReceipt: boolean;
  /** Whether the response says in so many words that the target has not run the request. */
  readonly statesNotExecuted: boolean;
  /** Whether a caller takes the status for a promise that its request has not run and never will. */
  readonly isPromiseToCallers: boolean;
  /** Whether the address belongs to another target now, or the target does not hold the model. */
  readonly isMisdirected: boolean;
  /** Whether the target says that it is leaving. */
  readonly isLeaving: boolean;
  /** Time for which the target, overloaded, wants no requests from this instance; `null` if it does not say. */
  readonly pauseMs: number | null;
  /** The load that the target reports, in requests; `null` if absent. */
  readonly load: {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on the target's machine now, as a multiple of what is usual; `null` if not stated. */
    readonly workTimeFactor: number | null;
  } | null;
}

export default ResponseFields;
