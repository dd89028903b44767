import type { Clock } from '@wisteriapath/model';
import assetId from './assetId';
import hasSameModels from './hasSameModels';
import LeavingSource from './LeavingSource';
import LoadForecasts from './LoadForecasts';
import isSameEntry from './isSameEntry';
import newestStarts from './newestStarts';
import Notifier from './Notifier';
import type PlacementUpdate from './PlacementUpdate';
import type RegisteredTarget from './RegisteredTarget';
import type TargetView from './TargetView';

/** Time for which placement updates take precedence over entries, which lag behind orders. */
const PLACEMENT_PRECEDENCE_MS = 2_500;
/** Time for which an engine's own refusal takes precedence over its entry. */
const ABSENT_MARK_MS = 1_000;

/** Least difference by which a target ends earlier than known; records take some time to arrive. */
const MIN_EARLIER_END_MS = 250;

interface Row {
  entry: RegisteredTarget;
  goneAtMs: number;
  models: ReadonlyMap<string, ReadonlySet<string>>;
  coldUntilMs: number;
  loading: string | null;
  isLoadFromStore: boolean;
  droppedAtMs: Map<string, number>;
  busyUntilMs: number;
  placementPrecedenceUntilMs: number;
  lastStamp: PlacementUpdate['stamp'];
  /** Until when `model` or `model/adapter` counts as absent. */
  absentUntilMs: Map<string, number>;
  leavingSource: LeavingSource;
  pausedUntilMs: number;
  /** Entries that were ignored, in a row and each newer than the one before it. */
  ignoredEntries: RegisteredTarget[];
}

/**
 * Ignored entries in a row after which they are believed. One or two may be writes that were carried out late, or of
 * another writer; more are from a target whose entry another writer had overwritten.
 */
const IGNORED_ENTRIES_TO_BELIEVE = 3;

const isOlder = (entry: RegisteredTarget, known: RegisteredTarget): boolean =>
  entry.bornMs < known.bornMs ||
  (entry.bornMs === known.bornMs && entry.entryNumber < known.entryNumber);

/** Whether an entry says what cannot become true of a target within one life: another pool or failure domain. */
const contradicts = (entry: RegisteredTarget, known: RegisteredTarget): boolean =>
  entry.bornMs === known.bornMs &&
  (entry.pool !== known.pool || entry.failureDomain !== known.failureDomain);

const isDoubtful = (entry: RegisteredTarget, known: RegisteredTarget): boolean =>
  isOlder(entry, known) || contradicts(entry, known);

/** The targets of all pools, as known to this instance. */
class TargetTable {
  private readonly rows = new Map<string, Row>();

  private drained: ReadonlySet<string> = new Set();

  /** What `inService` returned since the last change that it depends on, by pool: it is asked for with each look at the targets. */
  private readonly inServiceByPool = new Map<string, readonly Row[]>();

  /** Notifies waiting requests whenever a target may have become usable. */
  readonly changes = new Notifier();

  /** What placers expect of loads that they have put off. */
  readonly forecasts: LoadForecasts;

  constructor(private readonly clock: Clock) {
    this.forecasts = new LoadForecasts(clock);
  }

  /** Whether an entry has content that is new here and has to be sent to the other instances. */
  hasNewContent(entry: RegisteredTarget): boolean {
    return (
      !isSameEntry(entry, this.rows.get(entry.id)?.entry) ||
      this.hasLongerColdTime(entry) ||
      this.hasEarlierEnd(entry)
    );
  }

  /** Whether a known target stays cold for longer by this entry than known so far. */
  hasLongerColdTime(entry: RegisteredTarget): boolean {
    const known = this.rows.get(entry.id);
    if (known === undefined || entry.coldLeftMs <= 0) return false;
    if (isDoubtful(entry, known.entry)) return false;
    return this.clock.nowMs() + entry.coldLeftMs > known.coldUntilMs;
  }

  /** Whether a known target is gone earlier by this entry than known so far. */
  private hasEarlierEnd(entry: RegisteredTarget): boolean {
    const known = this.rows.get(entry.id);
    if (known === undefined || isDoubtful(entry, known.entry)) return false;
    return this.goneAtMs(entry) < known.goneAtMs - MIN_EARLIER_END_MS;
  }

  private goneAtMs({ isLeaving, remainingMs }: RegisteredTarget): number {
    const isKnown = isLeaving && typeof remainingMs === 'number';
    return isKnown ? this.clock.nowMs() + remainingMs : Infinity;
  }

  /**
   * Applies an entry; returns false if it was ignored. That is one that is older than the known entry, or contradicts it,
   * but for the third in a row.
   */
  applyEntry(entry: RegisteredTarget): boolean {
    const known = this.rows.get(entry.id);
    if (known === undefined || entry.bornMs > known.entry.bornMs) {
      this.addRow(entry);
      return true;
    }
    if (!isDoubtful(entry, known.entry)) {
      this.updateRow(known, entry);
      return true;
    }
    const last = known.ignoredEntries.at(-1);
    const continues = last !== undefined && isOlder(last, entry);
    known.ignoredEntries = continues ? [...known.ignoredEntries, entry] : [entry];
    if (known.ignoredEntries.length < IGNORED_ENTRIES_TO_BELIEVE) return false;
    this.addRow(entry);
    return true;
  }

  private addRow(entry: RegisteredTarget): void {
    const known = this.rows.get(entry.id);
    const isSameStart = known?.entry.bornMs === entry.bornMs;
    this.inServiceByPool.clear();
    this.rows.set(entry.id, {
      entry,
      goneAtMs: this.goneAtMs(entry),
      models: entry.models,
      coldUntilMs: this.clock.nowMs() + entry.coldLeftMs,
      loading: null,
      isLoadFromStore: false,
      droppedAtMs: new Map(),
      busyUntilMs: 0,
      placementPrecedenceUntilMs: 0,
      lastStamp: [0, 0],
      absentUntilMs: new Map(),
      leavingSource: isSameStart ? known.leavingSource : LeavingSource.None,
      pausedUntilMs: isSameStart ? known.pausedUntilMs : 0,
      ignoredEntries: [],
    });
    this.changes.notify();
  }

  private updateRow(row: Row, entry: RegisteredTarget): void {
    const isSame = isSameEntry(entry, row.entry);
    const coldUntilMs = this.clock.nowMs() + entry.coldLeftMs;
    const goneAtMs = this.goneAtMs(entry);
    Object.assign(row, { entry, coldUntilMs, goneAtMs, ignoredEntries: [] });
    if (!isSame) this.inServiceByPool.clear();
    if (this.clock.nowMs() >= row.placementPrecedenceUntilMs) this.setModels(row, entry.models);
    // A change other than of its models can also make the engine usable again.
    if (!isSame) this.changes.notify();
  }

  /** Applies a placement update; ignores one that is older than the last, or from before a restart of the engine. */
  applyPlacement(update: PlacementUpdate): void {
    const known = this.rows.get(update.target);
    if (known === undefined || known.entry.bornMs !== update.bornMs) return;
    const [fence, number] = update.stamp;
    const [knownFence, knownNumber] = known.lastStamp;
    if (fence < knownFence || (fence === knownFence && number < knownNumber)) return;
    known.lastStamp = update.stamp;
    known.loading = update.loading;
    known.isLoadFromStore = update.isFromStore ?? false;
    known.busyUntilMs = this.clock.nowMs() + update.busyForMs;
    known.placementPrecedenceUntilMs = this.clock.nowMs() + PLACEMENT_PRECEDENCE_MS;
    known.absentUntilMs.clear();
    this.setModels(
      known,
      new Map(update.models.map(([model, adapters]) => [model, new Set(adapters)])),
    );
  }

  /**
   * Sets what an engine holds. Notifies of changes only: placers repeat updates often, and each notification wakes
   * every waiting request.
   */
  private setModels(row: Row, models: Row['models']): void {
    const isSame = hasSameModels(models, row.models);
    const nowMs = this.clock.nowMs();
    row.models.forEach((_, model) => {
      if (!models.has(model)) row.droppedAtMs.set(model, nowMs);
    });
    Object.assign(row, { models });
    if (!isSame) this.changes.notify();
  }

  /** Marks a model or adapter as absent for a while, after the engine refused a request because it lacks it. */
  markAbsent(id: string, model: string, adapter: string | null): void {
    const untilMs = this.clock.nowMs() + ABSENT_MARK_MS;
    this.rows.get(id)?.absentUntilMs.set(assetId(model, adapter), untilMs);
  }

  /**
   * Notes that a target said that it is leaving, which holds until it starts anew or registers anew; returns whether
   * that is new.
   */
  markLeaving(id: string, bornMs: number, source: LeavingSource): boolean {
    const row = this.rows.get(id);
    if (row === undefined || row.entry.bornMs !== bornMs || row.leavingSource >= source) {
      return false;
    }
    row.leavingSource = source;
    this.inServiceByPool.clear();
    return true;
  }

  /** Targets that said that they are leaving, with their start; their entries may not say so yet. */
  get selfDeclaredLeaving(): readonly (readonly [string, number])[] {
    return [...this.rows.values()]
      .filter(({ leavingSource }) => leavingSource !== LeavingSource.None)
      .map(({ entry }) => [entry.id, entry.bornMs] as const);
  }

  /** Notes that a target, in its life that started at `bornMs`, wants no requests from this instance for a while. */
  pause(id: string, bornMs: number, forMs: number): void {
    const row = this.rows.get(id);
    if (row === undefined || row.entry.bornMs !== bornMs) return;
    row.pausedUntilMs = Math.max(row.pausedUntilMs, this.clock.nowMs() + forMs);
  }

  /** Whether a target, in its life that started at `bornMs`, may still be given new work. */
  mayReceive({ id, bornMs, pool }: RegisteredTarget): boolean {
    const row = this.rows.get(id);
    return (
      row?.entry.bornMs === bornMs &&
      row.pausedUntilMs <= this.clock.nowMs() &&
      this.inService(pool).includes(row)
    );
  }

  remove(id: string): void {
    this.rows.delete(id);
    this.inServiceByPool.clear();
  }

  /** Replaces the set of failure domains whose targets get no new work. */
  setDrainedDomains(domains: ReadonlySet<string>): void {
    this.drained = domains;
    this.inServiceByPool.clear();
    this.changes.notify();
  }

  get drainedDomains(): ReadonlySet<string> {
    return this.drained;
  }

  get(id: string): TargetView | undefined {
    return this.rows.get(id);
  }

  /** Returns the targets of all pools. */
  allTargets(): readonly TargetView[] {
    return [...this.rows.values()];
  }

  /**
   * Returns the targets of a pool that may be given new work. Where only leaving ones are left, those count of which
   * peers alone say that they leave: a word that was forged or misread elsewhere must not empty a pool. The same goes for those whose
   * address a later target has.
   */
  inService(pool: string): readonly TargetView[] {
    const known = this.inServiceByPool.get(pool);
    if (known !== undefined) return known;
    const rows = this.findInService(pool);
    this.inServiceByPool.set(pool, rows);
    return rows;
  }

  private findInService(pool: string): readonly Row[] {
    const open = this.rowsInPool(pool).filter(
      ({ entry }) => !entry.isLeaving && !this.drained.has(entry.failureDomain),
    );
    const startsMs = newestStarts([...this.rows.values()].map(({ entry }) => entry));
    const newest = open.filter(({ entry }) => entry.bornMs === startsMs.get(entry.address));
    const present = newest.length > 0 ? newest : open;
    const staying = present.filter(({ leavingSource }) => leavingSource === LeavingSource.None);
    if (staying.length > 0) return staying;
    return present.filter(({ leavingSource }) => leavingSource === LeavingSource.Peer);
  }

  private rowsInPool(pool: string): readonly Row[] {
    return [...this.rows.values()].filter(({ entry }) => entry.pool === pool);
  }

  /** Returns the targets of a pool that hold a model, or one of its adapters, and may be given new work. */
  holding(pool: string, model: string, adapter: string | null): readonly TargetView[] {
    return this.inService(pool).filter((view) => this.holds(view, model, adapter));
  }

  /** Whether a target holds a model, or one of its adapters, and has not refused it lately. */
  holds({ entry, models }: TargetView, model: string, adapter: string | null): boolean {
    const adapters = models.get(model);
    if (adapters === undefined || (adapter !== null && !adapters.has(adapter))) return false;
    const absent = this.rows.get(entry.id)?.absentUntilMs;
    if (absent === undefined || absent.size === 0) return true;
    const nowMs = this.clock.nowMs();
    return [assetId(model, null), assetId(model, adapter)].every(
      (asset) => (absent.get(asset) ?? 0) <= nowMs,
    );
  }

  get size(): number {
    return this.rows.size;
  }
}

export default TargetTable;
