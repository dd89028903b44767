import { type Either, Left } from 'purify-ts';
import type { Clock } from '@wisteriapath/model';
import {
  type DesiredState,
  type EventLog,
  type KeyedRecord,
  type RecordDecoder,
  type RecordSink,
  type RecordSpan,
  type RegisteredTarget,
  type StorePosition,
  StoreTopic,
  type TargetTable,
  TopicReplica,
} from '@wisteriapath/fleet';
import DrainedDomains from './DrainedDomains';
import StoreReturn from './StoreReturn';
import TargetEntryLog from './TargetEntryLog';
import subtractAge from './subtractAge';

interface Dependencies {
  readonly clock: Clock;
  readonly table: TargetTable;
  readonly decoder: RecordDecoder;
  readonly log: EventLog;
  /** Time after which a deletion that was read from the store is final. */
  readonly settlingMs: () => number;
  /** Time after a return of the store within which all live targets have registered again. */
  readonly recoveryMs: () => number;
  /** Called when a newer desired state comes into force. */
  readonly onDesiredState: (state: DesiredState) => void;
  /** Called when targets are gone, so that state held by their ids and addresses can be dropped. */
  readonly onTargetsRemoved: () => void;
  /** Called when the store has come back from an older copy, with its era; for each topic. */
  readonly onStoreReturned: (era: number) => void;
  /** Relays records of the targets that were read from the store to the peers. */
  readonly relayTargets: (span: RecordSpan) => void;
}

/** The deletion of a target that is not final yet. */
interface PendingRemoval {
  readonly position: StorePosition;
  /** When it is final, on the monotonic clock; undefined if this instance read it from the store itself. */
  readonly atMs: number | undefined;
}

/** The value of a record is empty: it deletes its key. */
const DELETED = Left('the record is a deletion');
/** Name of the store as the source of records, in log lines. */
const STORE = 'store';

/**
 * What this instance knows of the platform's store, whoever brought it: the store itself or a peer. Records are merged
 * by their positions, and what they say is applied to the desired state and to the table of targets. After the store has
 * come back from an older copy, what was known stays in force until it is written again: a desired state by its version,
 * a target by the number of its entry, and what the copy lacks for as long as live targets need to register again.
 */
class StoreView implements RecordSink {
  private readonly replicas: Readonly<Record<StoreTopic, TopicReplica>>;

  private state: DesiredState | undefined;

  private readonly drained: DrainedDomains;

  private readonly storeReturn: StoreReturn;

  private readonly entryLog: TargetEntryLog;

  /** Deletions of known targets that are not final yet, by id. */
  private readonly pendingRemovals = new Map<string, PendingRemoval>();

  /** Targets whose newest record was ignored, as it is not readable or does not fit what is known. */
  private readonly ignoredKeys = new Set<string>();

  constructor(private readonly deps: Dependencies) {
    const createReplica = () => new TopicReplica(deps.clock);
    this.drained = new DrainedDomains(deps.clock, () => this.applyDrainedDomains(STORE));
    this.storeReturn = new StoreReturn(deps.clock, deps.recoveryMs);
    this.entryLog = new TargetEntryLog(deps.log);
    this.replicas = {
      [StoreTopic.Operator]: createReplica(),
      [StoreTopic.Targets]: createReplica(),
    };
  }

  /** The newest desired state seen by this process. */
  get desired(): DesiredState | undefined {
    return this.state;
  }

  /** Whether both the desired state and the list of targets are known. */
  get isLoaded(): boolean {
    return this.state !== undefined && this.end(StoreTopic.Targets) !== undefined;
  }

  /** The oldest era of the store in which a topic is known; 0 before the first lists. */
  get era(): number {
    return Math.min(...Object.values(this.replicas).map(({ end }) => end?.era ?? 0));
  }

  end(topic: StoreTopic): StorePosition | undefined {
    return this.replicas[topic].end;
  }

  confirmedAtMs(topic: StoreTopic): number {
    return this.replicas[topic].confirmedAtMs;
  }

  /** Time since a topic was known to be complete; Infinity before its first list. */
  ageMs(topic: StoreTopic): number {
    return this.deps.clock.nowMs() - this.confirmedAtMs(topic);
  }

  /** Time since this instance itself read a topic to its end; Infinity if it has not. */
  readAgeMs(topic: StoreTopic): number {
    return this.deps.clock.nowMs() - this.replicas[topic].readToEndAtMs;
  }

  behindSinceMs(topic: StoreTopic): number | undefined {
    return this.replicas[topic].behindSinceMs;
  }

  isOfOlderEra(topic: StoreTopic): boolean {
    return this.replicas[topic].isOfOlderEra;
  }

  /** Notes that another instance is said to know a topic up to a position. */
  observeEnd(topic: StoreTopic, position: StorePosition): void {
    this.replicas[topic].observeEnd(position);
  }

  confirmEnd(topic: StoreTopic, beganMs: number): void {
    this.replicas[topic].confirmEnd(beganMs);
  }

  /** Notes that a peer, which knows a topic up to a position, read `ageMs` ago that nothing came after it. */
  confirmFromPeer(topic: StoreTopic, position: StorePosition, ageMs: number): void {
    this.replicas[topic].confirmPosition(position, this.deps.clock.nowMs() - ageMs);
  }

  forgetPositions(topic: StoreTopic): void {
    const { end } = this.replicas[topic];
    const lost = { era: end?.era ?? 0, offset: end?.offset ?? 0 };
    this.deps.log.event('store_positions_forgotten', { topic, ...lost });
    this.replicas[topic].forgetPositions();
  }

  /** Returns what an instance lacks that knows a topic up to `from`; a list of all keys if that is `null`. */
  since(topic: StoreTopic, from: StorePosition | null): RecordSpan {
    return this.replicas[topic].since(from, (key) => this.removalWaitMs(key));
  }

  mergeFromStore(topic: StoreTopic, span: RecordSpan): void {
    this.merge(topic, span, STORE);
    // After a list of all keys the peers may lack more than is new here; they notice that by its positions.
    if (topic === StoreTopic.Targets && span.from !== null) {
      this.deps.relayTargets(this.since(topic, span.from));
    }
  }

  /** Merges records that a peer sent. */
  mergeFromPeer(topic: StoreTopic, span: RecordSpan, peer: string): void {
    const replica = this.replicas[topic];
    if (span.records.length > 0 || replica.isBeyond(span)) {
      this.deps.log.event('records_from_peer', {
        topic,
        peer,
        from: span.from?.offset ?? -1,
        to: span.to.offset,
        era: span.to.era,
        own: replica.end?.offset ?? -1,
        own_era: replica.end?.era ?? -1,
        records: span.records.length,
      });
    }
    this.merge(topic, span, peer);
  }

  private merge(topic: StoreTopic, span: RecordSpan, source: string): void {
    const replica = this.replicas[topic];
    const isFirstList = replica.end === undefined && span.from === null;
    const entersEra = replica.entersEra(span);
    if (entersEra) this.enterEra(topic, span, source);
    const settlesInMs = entersEra ? this.storeReturn.leftMs : 0;
    const merges: Readonly<Record<StoreTopic, () => void>> = {
      [StoreTopic.Operator]: () =>
        this.applyOperatorRecords(
          replica.merge(span, () => false),
          source,
          settlesInMs,
        ),
      [StoreTopic.Targets]: () => this.mergeTargets(replica, span, source),
    };
    merges[topic]();
    if (!isFirstList) return;
    const { to, records } = span;
    const fields = { topic, source, to: to.offset, era: to.era, keys: records.length };
    this.deps.log.event('records_listed', fields);
  }

  /** Begins the time in which what the store lost is written again. */
  private enterEra(topic: StoreTopic, { to, records }: RecordSpan, source: string): void {
    const { end } = this.replicas[topic];
    this.storeReturn.begin();
    this.deps.onStoreReturned(to.era);
    this.deps.log.event('store_era_changed', {
      topic,
      source,
      old: end?.era ?? 0,
      new: to.era,
      old_to: end?.offset ?? 0,
      to: to.offset,
      keys_read: records.length,
      settles_in_ms: Math.round(this.storeReturn.leftMs),
    });
  }

  /** Applies records; domains that a copy of the store lacks are back in service only after `settlesInMs`. */
  private applyOperatorRecords(
    records: readonly KeyedRecord[],
    source: string,
    settlesInMs: number,
  ): void {
    const { decoder } = this.deps;
    const before = [...this.drained.all].join();
    records.forEach((record) => {
      const domain = decoder.drainedDomain(record.key);
      if (domain !== undefined && record.value.length > 0) this.drained.add(domain);
      else if (domain !== undefined) void this.drained.remove(domain, settlesInMs);
      else if (decoder.isDesiredState(record.key)) this.applyDesiredState(record, source);
    });
    if (before !== [...this.drained.all].join()) this.applyDrainedDomains(source);
  }

  private applyDrainedDomains(source: string): void {
    const domains = this.drained.all;
    this.deps.table.setDrainedDomains(domains);
    this.deps.log.event('domains_out', { domains: [...domains].join(','), source });
  }

  /** Puts a desired state into force if it is newer than the current one. */
  private applyDesiredState({ value, position, ageMs }: KeyedRecord, source: string): void {
    if (value.length === 0) return;
    const { decoder, log } = this.deps;
    const { offset } = position;
    const state = decoder.desiredState(value);
    if (state === undefined) {
      log.event('desired_state_unreadable', { bytes: value.length, offset, source });
      return;
    }
    if (state.version <= (this.state?.version ?? 0)) return;
    this.state = state;
    this.deps.onDesiredState(state);
    const { version, routes, pools, workspaces } = state;
    const origin = { source, offset, age_ms: Math.round(ageMs) };
    log.event('desired_state', { version, routes: routes.length, pools: pools.size, ...origin });
    workspaces?.forEach(({ name, ratePerS, burst, keys }) => {
      const limits = { rate_per_s: ratePerS, burst, keys: keys.length };
      log.event('workspace', { version, workspace: name, ...limits });
    });
  }

  private mergeTargets(replica: TopicReplica, span: RecordSpan, source: string): void {
    const { table } = this.deps;
    const entries = new Map<KeyedRecord, Either<string, RegisteredTarget>>();
    const entryOf = (record: KeyedRecord): Either<string, RegisteredTarget> => {
      const entry = entries.get(record) ?? this.decodeTarget(record);
      entries.set(record, entry);
      return entry;
    };
    // After a deletion or a record that was ignored, peers need the next one, though it says nothing new.
    const isRepeat = (record: KeyedRecord): boolean =>
      !this.ignoredKeys.has(record.key) &&
      !this.pendingRemovals.has(record.key) &&
      entryOf(record)
        .map((entry) => !table.hasNewContent(entry))
        .orDefault(false);
    replica.merge(span, isRepeat).forEach((record) => {
      if (record.value.length === 0) this.scheduleRemoval(record, source);
      else if (this.isOutdated(entryOf(record), span)) this.ignoredKeys.add(record.key);
      else this.applyTarget(record, entryOf(record), source);
    });
  }

  private isOutdated(decoded: Either<string, RegisteredTarget>, { from }: RecordSpan): boolean {
    const { table } = this.deps;
    return decoded
      .map((entry) => this.storeReturn.isOutdated(entry, table.get(entry.id)?.entry, from === null))
      .orDefault(false);
  }

  private decodeTarget({ key, value, ageMs }: KeyedRecord): Either<string, RegisteredTarget> {
    if (value.length === 0) return DELETED;
    return this.deps.decoder.target(key, value).map((entry) => subtractAge(entry, ageMs));
  }

  private applyTarget(
    record: KeyedRecord,
    decoded: Either<string, RegisteredTarget>,
    source: string,
  ): void {
    const { key, position } = record;
    decoded.caseOf({
      Left: (reason) => {
        this.ignoredKeys.add(key);
        const { offset } = position;
        this.deps.log.event('target_entry_unreadable', { target: key, reason, offset, source });
      },
      Right: (entry) => this.applyEntry(entry, record, source),
    });
  }

  private applyEntry(entry: RegisteredTarget, record: KeyedRecord, source: string): void {
    const { table } = this.deps;
    const known = table.get(entry.id)?.entry;
    const isColder = table.hasLongerColdTime(entry);
    if (!table.applyEntry(entry)) {
      this.ignoredKeys.add(entry.id);
      this.entryLog.ignored(entry, record, source);
      return;
    }
    this.ignoredKeys.delete(entry.id);
    this.pendingRemovals.delete(entry.id);
    const isNewState =
      known?.isLeaving !== entry.isLeaving || typeof known.remainingMs !== typeof entry.remainingMs;
    if (isNewState) this.entryLog.seen(entry, record, source);
    if (isColder) this.entryLog.cold(entry);
  }

  /** Removes a target as soon as the deletion of its entry is final. */
  private scheduleRemoval({ key, position, settlesInMs }: KeyedRecord, source: string): void {
    const { clock, table, log } = this.deps;
    this.ignoredKeys.delete(key);
    if (table.get(key) === undefined) return;
    const atMs = source === STORE ? undefined : clock.nowMs() + settlesInMs;
    this.pendingRemovals.set(key, { position, atMs });
    const waitMs = this.removalWaitMs(key);
    if (waitMs > 0) {
      log.event('target_missing', {
        target: key,
        source,
        offset: position.offset,
        settles_in_ms: Math.round(waitMs),
      });
    }
    void this.removeWhenFinal(key, position, source);
  }

  private async removeWhenFinal(
    id: string,
    position: StorePosition,
    source: string,
  ): Promise<void> {
    const { clock, table, log, onTargetsRemoved } = this.deps;
    const isPending = () => this.pendingRemovals.get(id)?.position === position;
    while (isPending() && this.removalWaitMs(id) > 0) await clock.sleep(this.removalWaitMs(id));
    if (!isPending()) return;
    this.pendingRemovals.delete(id);
    const known = table.get(id);
    if (known !== undefined) this.storeReturn.recordRemoval(known.entry);
    table.remove(id);
    log.event('target_gone', { target: id, source, offset: position.offset });
    onTargetsRemoved();
  }

  /** Returns the time after which the deletion of a target's entry is final; 0 if it is. */
  private removalWaitMs(id: string): number {
    const pending = this.pendingRemovals.get(id);
    if (pending === undefined) return 0;
    const { leftMs } = this.storeReturn;
    if (pending.atMs === undefined) return Math.max(leftMs, this.deps.settlingMs());
    return Math.max(0, leftMs, pending.atMs - this.deps.clock.nowMs());
  }
}

export default StoreView;
