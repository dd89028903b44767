/** Which instances' usage of the workspace limits a heartbeat reports. */
enum HeartbeatKind {
  /** None: the heartbeat only shows that its sender is alive. */
  Presence = 0,
  /** The sender's own usage. */
  Own = 1,
  /** The usage of the sender and of all instances that report to it. */
  Pooled = 2,
}

export default HeartbeatKind;
