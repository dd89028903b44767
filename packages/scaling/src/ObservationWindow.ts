import type Observation from './Observation';

/** Observations that are kept at most; a longer window is sampled less often. */
const MAX_OBSERVATIONS = 400;

/** The observations of one service in one failure domain over the last window. */
class ObservationWindow {
  private kept: Observation[] = [];

  get observations(): readonly Observation[] {
    return this.kept;
  }

  /** Adds an observation, and removes those before the window, except for the newest of them. */
  add(observation: Observation, windowMs: number): void {
    const last = this.kept.at(-1);
    const intervalMs = windowMs / MAX_OBSERVATIONS;
    if (last !== undefined && observation.atMs - last.atMs < intervalMs) return;
    this.kept.push(observation);
    const sinceMs = observation.atMs - windowMs;
    const firstInside = this.kept.findIndex(({ atMs }) => atMs >= sinceMs);
    this.kept = this.kept.slice(Math.max(0, firstInside - 1));
  }

  clear(): void {
    this.kept = [];
  }
}

export default ObservationWindow;
