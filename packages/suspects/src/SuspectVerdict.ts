/** Whether a request may be sent to targets. */
enum SuspectVerdict {
  /** None of its traits is convicted. */
  Clear = 'clear',
  /** Another request with the same traits is being tried; the verdict follows soon. */
  Wait = 'wait',
  /** It may be sent to find out whether its traits still crash targets, once the trial has been claimed. */
  Trial = 'trial',
  Refused = 'refused',
}

export default SuspectVerdict;
