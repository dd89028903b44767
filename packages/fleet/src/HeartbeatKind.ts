/** Whose use of the workspaces' limits a beat tells. */
enum HeartbeatKind {
  /** Nobody's: the beat only shows that its sender is there. */
  Presence = 0,
  /** The sender's own. */
  Own = 1,
  /** That of the sender and of all that report to it. */
  Pooled = 2,
}

export default HeartbeatKind;
