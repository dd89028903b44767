/** A request in flight on a target. Call `end` when the exchange is over. */
interface InflightRequest {
  /** Records that the target has begun to answer. */
  begun(): void;
  /** Removes the request from those in flight. */
  end(): void;
  /** Records that the target crashed. Call `end` afterwards. */
  targetCrashed(): void;
}

export default InflightRequest;
