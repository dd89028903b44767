/** Phase of an asset that memory is reserved for. */
enum AssetPhase {
  /** The load was decided; its order has not been sent yet. */
  Decided = 'decided',
  /** The load order was or is being sent; whether the engine received it may be unknown. */
  Loading = 'loading',
  Ready = 'ready',
  /** The unload was decided. The memory stays reserved until the engine confirms it. */
  Unloading = 'unloading',
}

export default AssetPhase;
