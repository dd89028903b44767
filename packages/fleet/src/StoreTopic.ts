/** The topics of the platform's store that instances follow. The values are part of the wire format between instances. */
enum StoreTopic {
  /** What the operator writes: the desired state, and failure domains taken out of service. */
  Operator = 'operator',
  /** The entries that targets write about themselves. */
  Targets = 'targets',
}

export default StoreTopic;
