/** The kinds of record in the roles stream. */
enum RoleRecordKind {
  /** Takes the role for a new holder. */
  Take = 'take',
  /** Gives up the role. */
  Release = 'release',
  /** Repeats the tenure, so that it outlives the log's retention. */
  Renew = 'renew',
  /** States that a previous holder is dead or has stopped giving orders. */
  Clear = 'clear',
  /** States that an operator confirmed a process to be down. */
  Vouch = 'vouch',
}

export default RoleRecordKind;
