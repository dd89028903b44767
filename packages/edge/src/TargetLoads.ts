import type { Clock } from '@wisteriapath/model';
import type { RegisteredTarget } from '@wisteriapath/fleet';
import type Passage from './Passage';

interface Load {
  /** Requests of this instance under way, by `model/adapter`. */
  readonly running: Map<string, number>;
  /** When the requests without a first byte were sent. */
  readonly unanswered: Set<{ readonly sinceMs: number }>;
  /** Load that the target told last, without this instance's own part. */
  others: number;
  toldAtMs: number;
  /** When the last byte came from the target. */
  heardMs: number;
  /** Until when no request is sent, after a connection could not be opened. */
  unreachableUntilMs: number;
  /** Connections in a row that could not be opened. */
  refusals: number;
  /** Share of recent requests that failed. */
  failures: number;
  failedAtMs: number;
}

const FAILURE_WEIGHT = 0.3;
const FAILURE_HALF_LIFE_MS = 1_500;
const TOLD_HALF_LIFE_MS = 1_000;
/** Time without a first byte after which a target is taken for silent. */
const SILENT_MS = 700;
/** Places that a target that fails every request is behind one that fails none. */
const FAILURE_COST = 3;
/** Time without requests after a connection could not be opened; it doubles each time. */
const UNREACHABLE_MS = 300;
const MOST_UNREACHABLE_MS = 1_200;

/** What this instance knows of how loaded and how sound targets are. */
class TargetLoads {
  private readonly loads = new Map<string, Load>();

  constructor(private readonly clock: Clock) {}

  /** Takes a place on a target for a request; it counts as under way from now on. */
  enter(id: string, model: string, adapter: string | null): Passage {
    const load = this.load(id);
    const key = `${model}/${adapter ?? ''}`;
    const mark = { sinceMs: this.clock.nowMs() };
    load.running.set(key, (load.running.get(key) ?? 0) + 1);
    load.unanswered.add(mark);
    const leave = () => {
      load.unanswered.delete(mark);
      const left = (load.running.get(key) ?? 1) - 1;
      if (left > 0) load.running.set(key, left);
      else load.running.delete(key);
    };
    return {
      answered: (fields) => {
        load.unanswered.delete(mark);
        load.refusals = 0;
        load.heardMs = this.clock.nowMs();
        if (fields.load === null) return;
        const { running, waiting } = fields.load;
        load.others = Math.max(0, running + waiting - this.own(id));
        load.toldAtMs = this.clock.nowMs();
      },
      heard: () => {
        load.heardMs = this.clock.nowMs();
      },
      refused: () => {
        const waitMs = Math.min(MOST_UNREACHABLE_MS, UNREACHABLE_MS * 2 ** load.refusals);
        load.unreachableUntilMs = this.clock.nowMs() + waitMs;
        load.refusals += 1;
      },
      released: leave,
      ended: (isFailure) => {
        leave();
        this.noteOutcome(load, isFailure);
      },
    };
  }

  /** Requests of this instance under way on a target. */
  own(id: string): number {
    return [...(this.loads.get(id)?.running.values() ?? [])].reduce((sum, count) => sum + count, 0);
  }

  /** Expected use of a target's places, with what speaks against it added; lower is better. */
  cost({ id, slots }: Pick<RegisteredTarget, 'id' | 'slots'>): number {
    const load = this.loads.get(id);
    if (load === undefined) return 0;
    const nowMs = this.clock.nowMs();
    const others = load.others * 0.5 ** ((nowMs - load.toldAtMs) / TOLD_HALF_LIFE_MS);
    const use = (this.own(id) + others) / Math.max(1, slots);
    const failures = load.failures * 0.5 ** ((nowMs - load.failedAtMs) / FAILURE_HALF_LIFE_MS);
    return use + failures * FAILURE_COST;
  }

  /** Whether requests are worth sending: connections open, and answers come. */
  isReachable(id: string): boolean {
    const load = this.loads.get(id);
    return load === undefined || !this.isAway(load);
  }

  /** Targets that cannot be reached or do not answer. */
  get unreachable(): readonly string[] {
    return [...this.loads].filter(([, load]) => this.isAway(load)).map(([id]) => id);
  }

  private isAway(load: Load): boolean {
    return load.unreachableUntilMs > this.clock.nowMs() || this.isSilent(load);
  }

  /** Whether a request has waited long for a first byte, and no other byte came meanwhile. */
  private isSilent({ unanswered, heardMs }: Load): boolean {
    const beforeMs = this.clock.nowMs() - SILENT_MS;
    return heardMs < beforeMs && [...unanswered].some(({ sinceMs }) => sinceMs < beforeMs);
  }

  /** Requests under way, `[target, model, adapter or '', count]`. */
  get running(): readonly (readonly [string, string, string, number])[] {
    return [...this.loads].flatMap(([id, { running }]) =>
      [...running].map(([key, count]) => {
        const [model = '', adapter = ''] = key.split('/');
        return [id, model, adapter, count] as const;
      }),
    );
  }

  retain(ids: ReadonlySet<string>): void {
    this.loads.forEach((load, id) => {
      if (!ids.has(id) && load.running.size === 0) this.loads.delete(id);
    });
  }

  private noteOutcome(load: Load, isFailure: boolean): void {
    const nowMs = this.clock.nowMs();
    const before = load.failures * 0.5 ** ((nowMs - load.failedAtMs) / FAILURE_HALF_LIFE_MS);
    const failures = before * (1 - FAILURE_WEIGHT) + (isFailure ? FAILURE_WEIGHT : 0);
    Object.assign(load, { failures, failedAtMs: nowMs });
  }

  private load(id: string): Load {
    const known = this.loads.get(id);
    if (known !== undefined) return known;
    const load: Load = {
      running: new Map(),
      unanswered: new Set(),
      others: 0,
      toldAtMs: 0,
      heardMs: 0,
      unreachableUntilMs: 0,
      refusals: 0,
      failures: 0,
      failedAtMs: 0,
    };
    this.loads.set(id, load);
    return load;
  }
}

export default TargetLoads;
