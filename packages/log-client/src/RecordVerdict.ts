/** What became of a record when it was folded. */
enum RecordVerdict {
  Accepted = 'accepted',
  Rejected = 'rejected',
  Cancelled = 'cancelled',
}

export default RecordVerdict;
