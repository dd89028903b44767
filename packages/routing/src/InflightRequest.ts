/** A request in flight on a target. Call `end` when the exchange is over. */
interface InflightRequest {
  /** Removes the request from those in flight. */
  end(): void;
  /** Records that the target crashed. Call `end` afterwards. */
  targetCrashed(): void;
}

export default InflightRequest;
