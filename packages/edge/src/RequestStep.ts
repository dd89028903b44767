/** How far a request of a caller has come. */
enum RequestStep {
  /** Its body is being received, or it is being admitted. */
  Receiving = 'receiving',
  /** It waits for a target. */
  Waiting = 'waiting',
  /** A target has been given it. */
  Sent = 'sent',
  /** Its response has begun. */
  Answering = 'answering',
}

export default RequestStep;
