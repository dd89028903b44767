/** Kinds of record of the roles stream. */
enum RoleRecordKind {
  Take = 'take',
  Release = 'release',
  /** Repeats a tenure, so that it outlives the log's retention. */
  Renew = 'renew',
  /** Earlier holders proved dead, or known to have stopped giving orders. */
  Clear = 'clear',
  Vouch = 'vouch',
}

export default RoleRecordKind;
