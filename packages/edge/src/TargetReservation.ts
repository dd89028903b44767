import type ResponseFields from './ResponseFields';

/** The reservation of one request on a target, which ends with one call of either `release` or `complete`. */
interface TargetReservation {
  /** Records the headers of the response. */
  recordResponse(fields: ResponseFields): void;
  /** Records that bytes arrived. */
  recordData(): void;
  /** Records that no connection could be opened. */
  recordConnectFailure(): void;
  /** Ends a reservation that was not used. */
  release(): void;
  /** Ends the reservation and records whether the attempt failed. */
  complete(isFailure: boolean): void;
}

export default TargetReservation;
