import type { Clock } from '@wisteriapath/model';
import type { EventLog, TargetView } from '@wisteriapath/fleet';
import type EdgeMetrics from './EdgeMetrics';

interface Level {
  left: number;
  atMs: number;
  /** Requests that found nothing left since the last line that told of them. */
  heldBack: number;
  toldMs: number;
}

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  /** Instances that may be sending, this one included. */
  readonly instances: () => number;
}

/** Least time between two lines on requests that one target could not be sent. */
const HELD_BACK_EVERY_MS = 500;

/** Bounds what this instance sends to targets that are cold. */
class ColdGate {
  private readonly levels = new Map<string, Level>();

  constructor(private readonly parts: Parts) {}

  /**
   * Takes one request out of what a target may be sent, `coldPerS` a second over all instances; false if
   * nothing is left. Targets that are not cold may be sent any number.
   */
  take(view: TargetView, coldPerS: number, request: string): boolean {
    const { clock, log, metrics, instances } = this.parts;
    if (coldPerS <= 0 || view.coldUntilMs <= clock.nowMs()) return true;
    const level = this.refilled(view, coldPerS);
    if (level.left < 1) {
      this.noteHeldBack(view, level);
      return false;
    }
    level.left -= 1;
    metrics.coldSends.inc({ pool: view.entry.pool });
    log.event('cold_send', {
      request,
      target: view.entry.id,
      cold_left_ms: Math.round(view.coldUntilMs - clock.nowMs()),
      left: level.left.toFixed(2),
      per_s: coldPerS,
      instances: instances(),
    });
    return true;
  }

  private noteHeldBack({ entry }: TargetView, level: Level): void {
    const { clock, log, metrics, instances } = this.parts;
    const nowMs = clock.nowMs();
    metrics.coldHeldBack.inc({ pool: entry.pool });
    const looks = level.heldBack + 1;
    const isDue = nowMs - level.toldMs >= HELD_BACK_EVERY_MS;
    Object.assign(level, isDue ? { heldBack: 0, toldMs: nowMs } : { heldBack: looks });
    if (!isDue) return;
    log.event('cold_held_back', {
      target: entry.id,
      looks,
      left: level.left.toFixed(2),
      instances: instances(),
    });
  }

  private refilled({ entry }: TargetView, coldPerS: number): Level {
    const { clock, instances } = this.parts;
    const nowMs = clock.nowMs();
    const known = this.levels.get(entry.id);
    const level = known ?? { left: 1, atMs: nowMs, heldBack: 0, toldMs: -Infinity };
    const perS = coldPerS / Math.max(1, instances());
    level.left = Math.min(1, level.left + (perS * (nowMs - level.atMs)) / 1_000);
    level.atMs = nowMs;
    this.levels.set(entry.id, level);
    return level;
  }
}

export default ColdGate;
