import { LRUCache } from 'lru-cache';
import type { EventLog } from '@wisteriapath/fleet';

const MAX_REQUESTS = 5_000;
const RETENTION_MS = 120_000;
/** A request is refused once the connections to this many targets broke while they ran it. */
const CRASHES_TO_QUARANTINE = 3;

/** Counts, by request, the targets whose connections broke while they ran it. */
class CrashCounts {
  private readonly crashes = new LRUCache<string, Set<string>>({
    max: MAX_REQUESTS,
    ttl: RETENTION_MS,
  });

  constructor(private readonly log: EventLog) {}

  /**
   * Records that the connection to a target broke while it ran a request; returns whether this is new. `source` says
   * who saw it.
   */
  record(fingerprint: string, target: string, source: 'self' | 'peer'): boolean {
    const targets = this.crashes.get(fingerprint) ?? new Set<string>();
    const isNew = !targets.has(target);
    targets.add(target);
    this.crashes.set(fingerprint, targets);
    if (isNew) {
      this.log.event('crash_counted', { fingerprint, target, source, crashes: targets.size });
    }
    return isNew;
  }

  /** Forgets the crashes of a request, after it was answered. */
  clear(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }

  /** Whether a request must be refused. */
  isQuarantined(fingerprint: string): boolean {
    return (this.crashes.get(fingerprint)?.size ?? 0) >= CRASHES_TO_QUARANTINE;
  }
}

export default CrashCounts;
