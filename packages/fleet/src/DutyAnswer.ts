/** The outcome of a call to the platform's duty interface. */
enum DutyAnswer {
  Accepted = 'accepted',
  /** The platform took nothing, as too many calls were made. */
  Refused = 'refused',
  /** No answer, or one of another kind: the platform may have taken the call, now or later. */
  Unknown = 'unknown',
}

export default DutyAnswer;
