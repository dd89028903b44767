import { randomUUID } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type PoisonWatch from './PoisonWatch';
import PoisonVerdict from './PoisonVerdict';

/** Crashes after which a request is quarantined. */
const CRASHES_TO_QUARANTINE = 2;
const REMEMBERED = 10_000;
const MEMORY_MS = 600_000;

interface Suspicion {
  readonly fingerprint: string;
  readonly crashIds: readonly string[];
}

/** The time of a target between two deaths. */
interface TargetLife {
  readonly crashId: string;
  /** Fingerprints of the requests in flight. */
  readonly inflight: string[];
}

/** Requests that were in flight on targets that died, by fingerprint. */
class PoisonRegistry {
  private readonly crashes = new LRUCache<string, ReadonlySet<string>>({
    max: REMEMBERED,
    ttl: MEMORY_MS,
  });

  private readonly lives = new Map<string, TargetLife>();

  /** Resolves when the peers know, or did not answer in time. */
  shared: Promise<void> = Promise.resolve();

  private lastSuspect: Promise<void> = Promise.resolve();

  constructor(
    /** Passes new suspicions on to the peers; resolves within a bounded time. */
    private readonly share: (suspicions: readonly Suspicion[]) => Promise<void>,
  ) {}

  verdict(fingerprint: string): PoisonVerdict {
    const crashed = this.crashes.get(fingerprint)?.size ?? 0;
    if (crashed === 0) return PoisonVerdict.Clear;
    return crashed >= CRASHES_TO_QUARANTINE ? PoisonVerdict.Quarantined : PoisonVerdict.Suspect;
  }

  /** Waits until no other suspect of this instance is being tried; call the result when done. */
  async beginAlone(): Promise<() => void> {
    const before = this.lastSuspect;
    let done = () => {};
    this.lastSuspect = new Promise((resolve) => {
      done = resolve;
    });
    await before;
    return done;
  }

  /** Notes that a request is in flight on a target. */
  enter(target: string, fingerprint: string): PoisonWatch {
    const life = this.lives.get(target) ?? this.beginLife(target);
    life.inflight.push(fingerprint);
    return {
      leave: () => {
        const position = life.inflight.indexOf(fingerprint);
        if (position >= 0) life.inflight.splice(position, 1);
      },
      crashed: () => this.noteCrash(target, life),
    };
  }

  private beginLife(target: string): TargetLife {
    const life = { crashId: `${target}#${randomUUID()}`, inflight: [] };
    this.lives.set(target, life);
    return life;
  }

  /** Makes suspects of everything in flight on a target that died; once for each death. */
  private noteCrash(target: string, life: TargetLife): void {
    if (this.lives.get(target) !== life) return;
    this.beginLife(target);
    const suspicions = [...new Set(life.inflight)].map((fingerprint) => ({
      fingerprint,
      crashIds: [life.crashId],
    }));
    this.merge(suspicions);
    this.shared = Promise.all([this.shared, this.share(suspicions)]).then(() => {});
  }

  /** Takes in what a peer suspects. */
  merge(suspicions: readonly Suspicion[]): void {
    suspicions.forEach(({ fingerprint, crashIds }) => {
      const known = this.crashes.get(fingerprint) ?? new Set<string>();
      this.crashes.set(fingerprint, new Set([...known, ...crashIds]));
    });
  }

  /** Clears a request that finished. */
  noteFinished(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }
}

export default PoisonRegistry;
