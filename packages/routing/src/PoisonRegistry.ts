import { LRUCache } from 'lru-cache';
import PoisonVerdict from './PoisonVerdict';

/** Targets that a request must have crashed before it is quarantined. */
const CRASHES_TO_QUARANTINE = 2;
const REMEMBERED = 10_000;
const MEMORY_MS = 600_000;

interface Suspicion {
  readonly fingerprint: string;
  readonly crashedTargets: readonly string[];
}

/** Requests that were in flight on targets that died, by fingerprint. */
class PoisonRegistry {
  private readonly crashes = new LRUCache<string, ReadonlySet<string>>({
    max: REMEMBERED,
    ttl: MEMORY_MS,
  });

  private readonly inflight = new Map<string, Map<string, number>>();

  private lastSuspect: Promise<void> = Promise.resolve();

  constructor(
    /** Passes new suspicions on to the peers. */
    private readonly share: (suspicions: readonly Suspicion[]) => void,
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

  /** Notes that a request is in flight on a target; call the result when it is not any more. */
  enter(target: string, fingerprint: string): () => void {
    const requests = this.inflight.get(target) ?? new Map<string, number>();
    this.inflight.set(target, requests);
    requests.set(fingerprint, (requests.get(fingerprint) ?? 0) + 1);
    return () => {
      const left = (requests.get(fingerprint) ?? 1) - 1;
      if (left === 0) requests.delete(fingerprint);
      else requests.set(fingerprint, left);
    };
  }

  /** Makes suspects of everything in flight on a target that died. */
  noteCrash(target: string): void {
    const fingerprints = [...(this.inflight.get(target)?.keys() ?? [])];
    const suspicions = fingerprints.map((fingerprint) => ({
      fingerprint,
      crashedTargets: [target],
    }));
    this.absorb(suspicions);
    this.share(suspicions);
  }

  /** Takes in what a peer suspects. */
  absorb(suspicions: readonly Suspicion[]): void {
    suspicions.forEach(({ fingerprint, crashedTargets }) => {
      const known = this.crashes.get(fingerprint) ?? new Set<string>();
      this.crashes.set(fingerprint, new Set([...known, ...crashedTargets]));
    });
  }

  /** Clears a request that finished. */
  noteFinished(fingerprint: string): void {
    this.crashes.delete(fingerprint);
  }
}

export default PoisonRegistry;
