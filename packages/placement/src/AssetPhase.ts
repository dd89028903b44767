/** State of an asset that memory is charged for. */
enum AssetPhase {
  /** Decided; the order may not have been sent yet. */
  Decided = 'decided',
  /** The order was sent, whatever became of it. */
  Loading = 'loading',
  Ready = 'ready',
  /** The unload was decided; charged until the target confirms it. */
  Unloading = 'unloading',
}

export default AssetPhase;
