import type { Clock } from '@wisteriapath/model';
import type DemandAggregator from './DemandAggregator';
import type DesiredState from './DesiredState';
import EngineSpeeds from './EngineSpeeds';
import gapTargetOf from './gapTargetOf';

interface Parts {
  readonly clock: Clock;
  readonly demand: Pick<DemandAggregator, 'speeds'>;
  readonly desired: () => DesiredState | undefined;
}

interface Cached {
  readonly speeds: EngineSpeeds | undefined;
  readonly atMs: number;
}

/** Time for which the speeds of a pool are used: planning passes follow each other within milliseconds. */
const CACHE_MS = 250;

/** Provides placement with the speeds of engines, in pools of which instances report any. */
class EngineSpeedSource {
  private readonly cached = new Map<string, Cached>();

  constructor(private readonly parts: Parts) {}

  /** Returns the speeds of the engines of a pool; undefined if none was reported. */
  of(pool: string): EngineSpeeds | undefined {
    const nowMs = this.parts.clock.nowMs();
    const known = this.cached.get(pool);
    if (known !== undefined && nowMs - known.atMs < CACHE_MS) return known.speeds;
    const speeds = this.read(pool);
    this.cached.set(pool, { speeds, atMs: nowMs });
    return speeds;
  }

  private read(pool: string): EngineSpeeds | undefined {
    const desired = this.parts.desired();
    const { speeds } = this.parts.demand;
    if (desired === undefined || speeds === undefined || !speeds.isKnown(pool)) return undefined;
    return new EngineSpeeds(speeds.ratingsOf(pool), gapTargetOf(desired, pool));
  }
}

export default EngineSpeedSource;
