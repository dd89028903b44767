import { randomUUID } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import { type Clock, systemClock } from '@wisteriapath/model';
import type InflightRequest from './InflightRequest';
import PoisonStatus from './PoisonStatus';

/** Weight of a crash of a target that had not begun to answer a request. */
const CRASH_WEIGHT = 3;
/** The same if it had begun: the request is hardly the cause. */
const CRASH_WHILE_ANSWERING_WEIGHT = 1;
/** Weight at which a request is quarantined: two crashes before an answer began. */
const QUARANTINE_WEIGHT = 2 * CRASH_WEIGHT;
/** Time in which crashes of one target are one crash, reported by several instances. */
const SAME_CRASH_MS = 1_000;
const MAX_SUSPECTS = 10_000;
const SUSPECT_TTL_MS = 600_000;

/** The crashes of which a request is suspected. */
interface Suspicion {
  readonly fingerprint: string;
  readonly crashIds: readonly string[];
}

/** A crash that a request is suspected of. */
interface SuspectedCrash {
  readonly crashId: string;
  readonly atMs: number;
  readonly weight: number;
}

interface TrackedRequest {
  readonly fingerprint: string;
  hasBegun: boolean;
}

/** The time of a target between two crashes. */
interface TargetLifetime {
  readonly crashId: string;
  readonly inflight: Set<TrackedRequest>;
}

/** Returns the target of a crash id, and the instance that reported it. */
const parseCrashId = (crashId: string): { readonly target: string; readonly reporter: string } => {
  const [, reporter = '', ...target] = crashId.split('#').reverse();
  return { target: target.reverse().join('#'), reporter };
};

/** A registry of the requests that were in flight on crashed targets, by fingerprint. */
class PoisonRegistry {
  private readonly crashes = new LRUCache<string, readonly SuspectedCrash[]>({
    max: MAX_SUSPECTS,
    ttl: SUSPECT_TTL_MS,
  });

  /** Names this instance in crash ids. */
  private readonly reporter = randomUUID();

  private lifetimeCount = 0;

  private readonly lifetimes = new Map<string, TargetLifetime>();

  /** Resolves when the peers have received all reports, or did not reply in time. */
  reportsShared: Promise<void> = Promise.resolve();

  private lastProbe: Promise<void> = Promise.resolve();

  constructor(
    /** Sends new suspicions to the peers. Resolves within a bounded time. */
    private readonly reportToPeers: (suspicions: readonly Suspicion[]) => Promise<void>,
    private readonly clock: Clock = systemClock,
  ) {}

  /** Returns whether a request may run freely, only alone, or not at all. */
  statusOf(fingerprint: string): PoisonStatus {
    const crashes = this.crashes.get(fingerprint) ?? [];
    const weight = crashes.reduce((sum, crash) => sum + crash.weight, 0);
    if (weight < CRASH_WEIGHT) return PoisonStatus.Clear;
    return weight >= QUARANTINE_WEIGHT ? PoisonStatus.Quarantined : PoisonStatus.Suspect;
  }

  /** Waits until this instance tries no other suspect. Call the returned function afterwards. */
  async beginSoloProbe(): Promise<() => void> {
    const previousProbe = this.lastProbe;
    let finish = () => {};
    this.lastProbe = new Promise((resolve) => {
      finish = resolve;
    });
    await previousProbe;
    return finish;
  }

  /** Registers a request as in flight on a target. */
  trackInflight(target: string, fingerprint: string): InflightRequest {
    const lifetime = this.lifetimes.get(target) ?? this.beginLifetime(target);
    const request = { fingerprint, hasBegun: false };
    lifetime.inflight.add(request);
    return {
      begun: () => {
        request.hasBegun = true;
      },
      end: () => lifetime.inflight.delete(request),
      targetCrashed: () => this.noteCrash(target, lifetime),
    };
  }

  private beginLifetime(target: string): TargetLifetime {
    this.lifetimeCount += 1;
    const crashId = `${target}#${this.reporter}#${this.lifetimeCount}`;
    const lifetime = { crashId, inflight: new Set<TrackedRequest>() };
    this.lifetimes.set(target, lifetime);
    return lifetime;
  }

  /** Marks the requests in flight on a crashed target as suspects, once per crash. */
  private noteCrash(target: string, lifetime: TargetLifetime): void {
    if (this.lifetimes.get(target) !== lifetime) return;
    this.beginLifetime(target);
    const requests = [...lifetime.inflight];
    const fingerprints = (hasBegun: boolean) => [
      ...new Set(
        requests
          .filter((request) => request.hasBegun === hasBegun)
          .map(({ fingerprint }) => fingerprint),
      ),
    ];
    fingerprints(true).forEach((fingerprint) =>
      this.addCrash(fingerprint, lifetime.crashId, CRASH_WHILE_ANSWERING_WEIGHT),
    );
    const suspicions = fingerprints(false).map((fingerprint) => ({
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
    suspicions.forEach(({ fingerprint, crashIds }) =>
      crashIds.forEach((crashId) => this.addCrash(fingerprint, crashId, CRASH_WEIGHT)),
    );
  }

  private addCrash(fingerprint: string, crashId: string, weight: number): void {
    const known = this.crashes.get(fingerprint) ?? [];
    const atMs = this.clock.nowMs();
    const { target, reporter } = parseCrashId(crashId);
    const isSame = (crash: SuspectedCrash): boolean => {
      const other = parseCrashId(crash.crashId);
      const isSeenByOther =
        other.target === target && other.reporter !== reporter && crash.atMs > atMs - SAME_CRASH_MS;
      return crash.crashId === crashId || isSeenByOther;
    };
    const same = known.find(isSame);
    const others = known.filter((crash) => crash !== same);
    const added = { crashId, atMs, weight };
    const kept = same === undefined || same.weight < weight ? added : same;
    this.crashes.set(fingerprint, [...others, kept]);
  }

  /** Clears a request of suspicion, since it finished. */
  noteFinished(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }
}

export default PoisonRegistry;
