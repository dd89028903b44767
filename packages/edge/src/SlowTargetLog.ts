import type { Clock } from '@wisteriapath/model';
import type { EventLog } from '@wisteriapath/fleet';
import type ExpectedPace from './ExpectedPace';

interface Belief {
  isSlow: boolean;
  loggedAtMs: number;
}

/** Slowness in slow spans from which a target counts as slow, and below which it no longer does. */
const SLOW_FROM = 2;
const SLOW_UNTIL = 1.5;
/** Minimum time between two lines about one target. */
const MIN_LOG_INTERVAL_MS = 5_000;

/** Logs which targets an instance begins or ceases to take for slow, at a limited rate for each. */
class SlowTargetLog {
  private readonly beliefs = new Map<string, Belief>();

  constructor(
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /** Takes what is expected of a target now. */
  observe(id: string, { slowness, peakSlowness, isMeasured }: ExpectedPace): void {
    const belief = this.beliefs.get(id) ?? { isSlow: false, loggedAtMs: -Infinity };
    const isSlow = peakSlowness >= (belief.isSlow ? SLOW_UNTIL : SLOW_FROM);
    const nowMs = this.clock.nowMs();
    if (isSlow === belief.isSlow || nowMs - belief.loggedAtMs < MIN_LOG_INTERVAL_MS) return;
    this.beliefs.set(id, { isSlow, loggedAtMs: nowMs });
    this.log.event('target_pace', {
      target: id,
      slow: isSlow,
      slowness: slowness.toFixed(2),
      in_slow_spans: peakSlowness.toFixed(2),
      measured: isMeasured,
    });
  }

  /** The number of targets that were last taken for slow. */
  get slowCount(): number {
    return [...this.beliefs.values()].filter(({ isSlow }) => isSlow).length;
  }

  /** Drops the state of all targets except the given ones. */
  retain(ids: ReadonlySet<string>): void {
    this.beliefs.forEach((_, id) => {
      if (!ids.has(id)) this.beliefs.delete(id);
    });
  }
}

export default SlowTargetLog;
