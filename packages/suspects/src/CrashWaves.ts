import { LRUCache } from 'lru-cache';
import type TraitRecord from './TraitRecord';

/** Crashes that are kept, of all targets. */
const MAX_CRASHES = 512;
/** Time within which crashes count as one wave. */
const WAVE_MS = 1_000;
/** Other targets that crash in a wave, without the trait, from which the wave explains a crash. */
const MIN_OTHER_CRASHES = 3;

/** Tells the crashes of a trait that came with those of many other targets from the others. */
class CrashWaves {
  private readonly crashedAtMs = new LRUCache<string, number>({ max: MAX_CRASHES });

  /** Notes the crash of a target, whatever it is blamed on. */
  record(crashId: string, atMs: number): void {
    if (!this.crashedAtMs.has(crashId)) this.crashedAtMs.set(crashId, atMs);
  }

  /** Excuses those crashes of a trait that came in a wave. */
  excuse(record: TraitRecord): void {
    record.sightings
      .filter(([, { crashedAtMs }]) => this.isInWave(crashedAtMs, record))
      .forEach(([crashId]) => record.excuse(crashId));
  }

  private isInWave(atMs: number, record: TraitRecord): boolean {
    const others = [...this.crashedAtMs].filter(
      ([crashId, otherAtMs]) => Math.abs(otherAtMs - atMs) <= WAVE_MS && !record.has(crashId),
    );
    return others.length >= MIN_OTHER_CRASHES;
  }
}

export default CrashWaves;
