import type { Clock } from '@wisteriapath/model';
import assetId from './assetId';
import isSameEntry from './isSameEntry';
import isSameModels from './isSameModels';
import Notifier from './Notifier';
import type PlacementUpdate from './PlacementUpdate';
import type RegisteredTarget from './RegisteredTarget';
import type TargetView from './TargetView';

/** Time for which the placer's word goes before entries, which lag behind orders. */
const PLACER_WORD_MS = 2_500;
/** Time for which an engine's own refusal goes before what others say of it. */
const ABSENT_MS = 1_000;

interface Row {
  entry: RegisteredTarget;
  models: ReadonlyMap<string, ReadonlySet<string>>;
  coldUntilMs: number;
  loading: string | null;
  busyUntilMs: number;
  placerWordUntilMs: number;
  placerStamp: PlacementUpdate['stamp'];
  /** Until when a model, or model/adapter, is taken as absent. */
  absentUntilMs: Map<string, number>;
}

const isOlder = (entry: RegisteredTarget, known: RegisteredTarget): boolean =>
  entry.bornMs < known.bornMs ||
  (entry.bornMs === known.bornMs && entry.entryNumber < known.entryNumber);

/** The targets of all pools as this instance knows them. */
class TargetTable {
  private readonly rows = new Map<string, Row>();

  private out: ReadonlySet<string> = new Set();

  /** Notified whenever a target may have become usable. */
  readonly changes = new Notifier();

  constructor(private readonly clock: Clock) {}

  /** Whether an entry tells something new, of which the other instances have to hear. */
  hasNewContent(entry: RegisteredTarget): boolean {
    return !isSameEntry(entry, this.rows.get(entry.id)?.entry) || this.hasLongerColdTime(entry);
  }

  /** Whether an entry says that a known target stays cold for longer than was believed. */
  hasLongerColdTime(entry: RegisteredTarget): boolean {
    const known = this.rows.get(entry.id);
    if (known === undefined || entry.coldLeftMs <= 0 || isOlder(entry, known.entry)) return false;
    return this.clock.nowMs() + entry.coldLeftMs > known.coldUntilMs;
  }

  /** Takes in an entry; one older than what is known changes nothing. */
  applyEntry(entry: RegisteredTarget): void {
    const known = this.rows.get(entry.id);
    const coldUntilMs = this.clock.nowMs() + entry.coldLeftMs;
    if (known === undefined || entry.bornMs > known.entry.bornMs) {
      this.rows.set(entry.id, {
        entry,
        models: entry.models,
        coldUntilMs,
        loading: null,
        busyUntilMs: 0,
        placerWordUntilMs: 0,
        placerStamp: [0, 0],
        absentUntilMs: new Map(),
      });
      this.changes.notify();
      return;
    }
    if (isOlder(entry, known.entry)) return;
    const isSame = isSameEntry(entry, known.entry);
    known.entry = entry;
    known.coldUntilMs = coldUntilMs;
    if (this.clock.nowMs() >= known.placerWordUntilMs) this.hold(known, entry.models);
    // The engine may take work again for another reason than its models.
    if (!isSame) this.changes.notify();
  }

  /** Takes in what the placer knows of an engine after its orders. */
  applyPlacement(update: PlacementUpdate): void {
    const known = this.rows.get(update.target);
    if (known === undefined || known.entry.bornMs !== update.bornMs) return;
    const [fence, number] = update.stamp;
    const [knownFence, knownNumber] = known.placerStamp;
    if (fence < knownFence || (fence === knownFence && number < knownNumber)) return;
    known.placerStamp = update.stamp;
    known.loading = update.loading;
    known.busyUntilMs = this.clock.nowMs() + update.busyForMs;
    known.placerWordUntilMs = this.clock.nowMs() + PLACER_WORD_MS;
    known.absentUntilMs.clear();
    this.hold(known, new Map(update.models.map(([model, adapters]) => [model, new Set(adapters)])));
  }

  /** Notes what an engine holds; placers repeat it often, and each notice makes every waiter look. */
  private hold(row: Row, models: Row['models']): void {
    const isSame = isSameModels(models, row.models);
    Object.assign(row, { models });
    if (!isSame) this.changes.notify();
  }

  /** Notes that an engine refused a request because it lacks the model or adapter. */
  markAbsent(id: string, model: string, adapter: string | null): void {
    const until = this.clock.nowMs() + ABSENT_MS;
    this.rows.get(id)?.absentUntilMs.set(assetId(model, adapter), until);
  }

  remove(id: string): void {
    this.rows.delete(id);
  }

  setDrainedDomains(domains: ReadonlySet<string>): void {
    this.out = domains;
    this.changes.notify();
  }

  get drainedDomains(): ReadonlySet<string> {
    return this.out;
  }

  get(id: string): TargetView | undefined {
    return this.rows.get(id);
  }

  /** Every target of every pool. */
  allTargets(): readonly TargetView[] {
    return [...this.rows.values()];
  }

  /** Every target of a pool. */
  all(pool: string): readonly TargetView[] {
    return [...this.rows.values()].filter(({ entry }) => entry.pool === pool);
  }

  /** Targets of a pool that may be given new work. */
  inService(pool: string): readonly TargetView[] {
    return this.all(pool).filter(
      ({ entry }) => !entry.isLeaving && !this.out.has(entry.failureDomain),
    );
  }

  /** Targets of a pool that may be given new work for a model. */
  holding(pool: string, model: string, adapter: string | null): readonly TargetView[] {
    return this.inService(pool).filter((view) => this.holds(view, model, adapter));
  }

  holds({ entry, models }: TargetView, model: string, adapter: string | null): boolean {
    const adapters = models.get(model);
    if (adapters === undefined || (adapter !== null && !adapters.has(adapter))) return false;
    const nowMs = this.clock.nowMs();
    const absent = this.rows.get(entry.id)?.absentUntilMs;
    return [assetId(model, null), assetId(model, adapter)].every(
      (asset) => (absent?.get(asset) ?? 0) <= nowMs,
    );
  }

  get size(): number {
    return this.rows.size;
  }
}

export default TargetTable;
