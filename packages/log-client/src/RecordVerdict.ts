/** Result of folding a record. */
enum RecordVerdict {
  Accepted = 'accepted',
  Rejected = 'rejected',
  Cancelled = 'cancelled',
}

export default RecordVerdict;
