/** A request in flight on a target. Call one of the functions when it is not any more. */
interface PoisonWatch {
  leave(): void;
  /** The target died; call `leave` afterwards. */
  crashed(): void;
}

export default PoisonWatch;
