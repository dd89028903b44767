import { randomUUID } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type InflightRequest from './InflightRequest';
import PoisonVerdict from './PoisonVerdict';

/** Number of crashes after which a request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;
const MAX_SUSPECTS = 10_000;
const SUSPECT_TTL_MS = 600_000;

/** The crashes of which a request is suspected. */
interface Suspicion {
  readonly fingerprint: string;
  readonly crashIds: readonly string[];
}

/** The time of a target between two crashes. */
interface TargetLifetime {
  readonly crashId: string;
  /** Fingerprints of the requests in flight. */
  readonly inflight: string[];
}

/** A registry of the requests that were in flight on crashed targets, by fingerprint. */
class PoisonRegistry {
  private readonly crashes = new LRUCache<string, ReadonlySet<string>>({
    max: MAX_SUSPECTS,
    ttl: SUSPECT_TTL_MS,
  });

  private readonly lifetimes = new Map<string, TargetLifetime>();

  /** Resolves when the peers have received all reports, or did not reply in time. */
  reportsShared: Promise<void> = Promise.resolve();

  private lastTrial: Promise<void> = Promise.resolve();

  constructor(
    /** Sends new suspicions to the peers. Resolves within a bounded time. */
    private readonly reportToPeers: (suspicions: readonly Suspicion[]) => Promise<void>,
  ) {}

  /** Returns whether a request may run freely, only alone, or not at all. */
  verdict(fingerprint: string): PoisonVerdict {
    const crashed = this.crashes.get(fingerprint)?.size ?? 0;
    if (crashed === 0) return PoisonVerdict.Clear;
    return crashed >= CRASHES_TO_QUARANTINE ? PoisonVerdict.Quarantined : PoisonVerdict.Suspect;
  }

  /** Waits until this instance tries no other suspect. Call the returned function afterwards. */
  async beginSoloTrial(): Promise<() => void> {
    const previousTrial = this.lastTrial;
    let finish = () => {};
    this.lastTrial = new Promise((resolve) => {
      finish = resolve;
    });
    await previousTrial;
    return finish;
  }

  /** Registers a request as in flight on a target. */
  trackInflight(target: string, fingerprint: string): InflightRequest {
    const lifetime = this.lifetimes.get(target) ?? this.beginLifetime(target);
    lifetime.inflight.push(fingerprint);
    return {
      end: () => {
        const position = lifetime.inflight.indexOf(fingerprint);
        if (position >= 0) lifetime.inflight.splice(position, 1);
      },
      targetCrashed: () => this.noteCrash(target, lifetime),
    };
  }

  private beginLifetime(target: string): TargetLifetime {
    const lifetime = { crashId: `${target}#${randomUUID()}`, inflight: [] };
    this.lifetimes.set(target, lifetime);
    return lifetime;
  }

  /** Marks every request in flight on a crashed target as a suspect, once per crash. */
  private noteCrash(target: string, lifetime: TargetLifetime): void {
    if (this.lifetimes.get(target) !== lifetime) return;
    this.beginLifetime(target);
    const suspicions = [...new Set(lifetime.inflight)].map((fingerprint) => ({
      fingerprint,
      crashIds: [lifetime.crashId],
    }));
    this.merge(suspicions);
    this.reportsShared = Promise.all([this.reportsShared, this.reportToPeers(suspicions)]).then(
      () => {},
    );
  }

  /** Merges the suspicions of a peer. */
  merge(suspicions: readonly Suspicion[]): void {
    suspicions.forEach(({ fingerprint, crashIds }) => {
      const known = this.crashes.get(fingerprint) ?? new Set<string>();
      this.crashes.set(fingerprint, new Set([...known, ...crashIds]));
    });
  }

  /** Clears a request of suspicion, since it finished. */
  noteFinished(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }
}

export default PoisonRegistry;
