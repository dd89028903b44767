import type { Clock } from '@wisteriapath/model';
import type { EventLog, TargetView } from '@wisteriapath/fleet';
import type EdgeMetrics from './EdgeMetrics';
import type SharedLimits from './SharedLimits';
import coldShare from './coldShare';

interface Level {
  /** Requests that may be sent now. */
  left: number;
  /** Most that is saved up while no request waits. */
  savedMost: number;
  atMs: number;
  /** Requests that found nothing left since the last line that told of them. */
  heldBack: number;
  toldMs: number;
}

type Share = ReturnType<typeof coldShare>;

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly limits: SharedLimits;
  /** Between 0 and 1. */
  readonly random: () => number;
  /** Instances that may be sending, this one included. */
  readonly instances: () => number;
}

/** Least time between two lines on requests that one target could not be sent. */
const HELD_BACK_EVERY_MS = 500;
const MS_PER_S = 1_000;
/** Time after which a process has heard how many others there are. */
const LISTEN_MS = 1_000;
/** Time without a request that asks for a target, after which none is taken to be waiting. */
const ASKED_MS = 100;

/** Bounds what this instance sends to targets that are cold. */
class ColdGate {
  private readonly levels = new Map<string, Level>();

  private readonly listenedAtMs: number;

  constructor(private readonly parts: Parts) {
    this.listenedAtMs = parts.clock.nowMs() + LISTEN_MS;
  }

  /**
   * Takes one request out of what a target may be sent, `coldPerS` a second over all instances; false if
   * nothing is left. Targets that are not cold may be sent any number.
   */
  take(view: TargetView, coldPerS: number, request: string): boolean {
    const { clock, log, metrics, limits, instances } = this.parts;
    if (coldPerS <= 0 || view.coldUntilMs <= clock.nowMs()) return true;
    const reckoned = instances();
    const share = coldShare(coldPerS, reckoned, limits);
    const level = this.refilled(view, share);
    if (level.left < 1 || clock.nowMs() < this.listenedAtMs) {
      this.noteHeldBack(view, level, reckoned);
      return false;
    }
    level.left -= 1;
    level.savedMost = this.drawSaved(share);
    metrics.coldSends.inc({ pool: view.entry.pool });
    log.event('cold_send', {
      request,
      target: view.entry.id,
      cold_left_ms: Math.round(view.coldUntilMs - clock.nowMs()),
      left: level.left.toFixed(2),
      per_s: coldPerS,
      instances: reckoned,
    });
    return true;
  }

  /** Forgets targets that are gone. */
  retain(ids: ReadonlySet<string>): void {
    this.levels.forEach((_, id) => {
      if (!ids.has(id)) this.levels.delete(id);
    });
  }

  private noteHeldBack({ entry }: TargetView, level: Level, instances: number): void {
    const { clock, log, metrics } = this.parts;
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
      instances,
    });
  }

  private refilled({ entry }: TargetView, share: Share): Level {
    const nowMs = this.parts.clock.nowMs();
    const known = this.levels.get(entry.id);
    if (known === undefined) {
      const left = this.drawSaved(share);
      const level = { left, savedMost: left, atMs: nowMs, heldBack: 0, toldMs: -Infinity };
      this.levels.set(entry.id, level);
      return level;
    }
    const elapsedMs = nowMs - known.atMs;
    const earned = (share.perS * elapsedMs) / MS_PER_S;
    const most = elapsedMs > ASKED_MS ? Math.max(known.left, known.savedMost) : 1;
    known.left = Math.min(most, known.left + earned);
    known.atMs = nowMs;
    return known;
  }

  /** What this instance may have saved up for a target before a request asks for it. */
  private drawSaved({ isWhole }: Share): number {
    return isWhole ? 1 : this.parts.random();
  }
}

export default ColdGate;
