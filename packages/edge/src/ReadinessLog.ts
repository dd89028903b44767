import type { Clock } from '@wisteriapath/model';
import type { EventLog } from '@wisteriapath/fleet';

interface Parts {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly isReady: () => boolean;
  /** Whether the instance is stopping, so that it will not become ready. */
  readonly isOver: () => boolean;
  /** Returns what the instance waits for. */
  readonly waitsFor: () => readonly string[];
}

const POLL_INTERVAL_MS = 100;
const NOT_READY_INTERVAL_MS = 10_000;

/** Logs when an instance becomes ready, and until then, at intervals, what it waits for. */
class ReadinessLog {
  private nextLineMs: number;

  private readonly startedMs: number;

  constructor(private readonly parts: Parts) {
    this.startedMs = parts.clock.nowMs();
    this.nextLineMs = this.startedMs + NOT_READY_INTERVAL_MS;
  }

  /** Resolves once the instance is ready or stopping. */
  async run(): Promise<void> {
    const { clock, log, isReady, isOver } = this.parts;
    while (!isOver() && !isReady()) {
      this.logWait();
      await clock.sleep(POLL_INTERVAL_MS);
    }
    if (!isOver()) log.event('ready', { after_ms: this.elapsedMs });
  }

  private get elapsedMs(): number {
    return Math.round(this.parts.clock.nowMs() - this.startedMs);
  }

  private logWait(): void {
    const { clock, log, waitsFor } = this.parts;
    if (clock.nowMs() < this.nextLineMs) return;
    this.nextLineMs = clock.nowMs() + NOT_READY_INTERVAL_MS;
    log.event('not_ready', { after_ms: this.elapsedMs, waits_for: waitsFor().join(', ') });
  }
}

export default ReadinessLog;
