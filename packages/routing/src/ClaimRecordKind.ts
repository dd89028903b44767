/** Kinds of record of a claims stream. */
enum ClaimRecordKind {
  Claim = 'claim',
  Release = 'release',
  Outcome = 'outcome',
}

export default ClaimRecordKind;
