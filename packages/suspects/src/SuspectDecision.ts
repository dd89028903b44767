/** Whether a request may be sent to targets. */
enum SuspectDecision {
  /** None of its traits is quarantined. */
  Clear = 'clear',
  /** Another request with the same traits is being tried; the decision follows soon. */
  Wait = 'wait',
  /** It may be sent to find out whether its traits still crash targets, once the probe has been claimed. */
  Probe = 'probe',
  Refused = 'refused',
}

export default SuspectDecision;
