/** Classes of waiting work. The lower value goes first. */
enum Urgency {
  /** Something is lost unless the work starts soon. */
  Urgent = 0,
  /** Nothing is lost soon. */
  Deferrable = 1,
  /** Nothing can be gained any more. */
  Expired = 2,
}

export default Urgency;
