import type TargetSpeeds from './TargetSpeeds';

type Ratings = ReturnType<TargetSpeeds['ratingsOf']>;

/** Fraction of the gap target up to which an engine counts as one that keeps it: larger models are slower than usual ones. */
const KEPT_FRACTION = 0.8;

/** The speeds of the engines of a pool in one planning pass, as far as placement needs them. */
class EngineSpeeds {
  private hasPlannedReplica = false;

  constructor(
    private readonly ratings: Ratings,
    /** Shortest gap target of the streams of the pool; 0 if there is none. */
    private readonly gapTargetMs: number,
  ) {}

  /** Whether replicas have not been planned by these speeds yet; from now on they count as planned. */
  takeReplicaTurn(): boolean {
    const isDue = !this.hasPlannedReplica;
    this.hasPlannedReplica = true;
    return isDue;
  }

  /** Returns the speed of an engine in coarse steps: 0 if it is usual or not known, more if it is slower. */
  stepOf(id: string): number {
    return this.ratings.get(id)?.step ?? 0;
  }

  /** Whether streams on an engine are expected to pause for longer than the gap target. */
  breaksGap(id: string): boolean {
    return this.gapTargetMs > 0 && this.gapMs(id) > this.gapTargetMs;
  }

  /** Whether streams on an engine are expected to keep the gap target, with a margin. */
  keepsGap(id: string): boolean {
    return this.gapMs(id) <= this.gapTargetMs * KEPT_FRACTION;
  }

  private gapMs(id: string): number {
    return this.ratings.get(id)?.gapMs ?? 0;
  }
}

export default EngineSpeeds;
