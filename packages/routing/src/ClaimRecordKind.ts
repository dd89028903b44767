/** The kinds of record in a claims stream. */
enum ClaimRecordKind {
  Claim = 'claim',
  Release = 'release',
  Outcome = 'outcome',
}

export default ClaimRecordKind;
