import type ResponseFields from './ResponseFields';

/** The reservation of one request on a target, which ends with one call of either `release` or `complete`. */
interface TargetReservation {
  /** Records the headers of the response. */
  recordResponse(fields: ResponseFields): void;
  /** Records that bytes arrived. */
  recordData(): void;
  /** Records the mean time between a few successive events of the response. */
  recordGap(gapMs: number): void;
  /** Records the time to the first event of a stream that did not wait in a queue of the target. */
  recordFirstEvent(timeMs: number, units: number): void;
  /** Records the time to a response that is no stream and did not wait in a queue of the target. */
  recordResponseTime(timeMs: number, units: number): void;
  /** Records that no connection could be opened. */
  recordConnectFailure(): void;
  /** Ends a reservation that was not used. */
  release(): void;
  /** Ends the reservation and records whether the attempt failed. */
  complete(isFailure: boolean): void;
}

export default TargetReservation;
