/** Kinds of target. */
enum TargetKind {
  Engine = 'engine',
  Service = 'service',
}

export default TargetKind;
