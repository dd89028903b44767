import type RegisteredTarget from './RegisteredTarget';

/** A registered target with the state that this instance has learned since. */
interface TargetView {
  readonly entry: RegisteredTarget;
  /** Loaded adapters by loaded model: the newest state, from the entry or from the placer. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** When the target stops being cold. */
  readonly coldUntilMs: number;
  /** When a draining target is gone, whatever it runs; `Infinity` if that is not known. */
  readonly goneAtMs: number;
  /** Until when the target wants no requests from this instance. */
  readonly pausedUntilMs: number;
  /** Model that is being loaded, as announced by the placer. */
  readonly loading: string | null;
  /** Whether its weights come from the weight store. */
  readonly isLoadFromStore: boolean;
  /** Models that it held before, with when it last held each: copies of which its entry may not tell yet. */
  readonly droppedAtMs: ReadonlyMap<string, number>;
  /** When the change announced by the placer is expected to end. */
  readonly busyUntilMs: number;
}

export default TargetView;
