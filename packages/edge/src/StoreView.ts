import {
  type DesiredState,
  type EventLog,
  type RegisteredTarget,
  type StoreEvents,
  type TargetTable,
  type TargetUpdate,
} from '@wisteriapath/fleet';

interface Dependencies {
  readonly table: TargetTable;
  readonly log: EventLog;
  /** Called when a newer desired state comes into force. */
  readonly onDesiredState: (state: DesiredState) => void;
  /** Called when targets are gone, so that state held by their ids and addresses can be dropped. */
  readonly onTargetsRemoved: () => void;
  /** Relays an update from the store to the peers. */
  readonly relay: (update: TargetUpdate) => void;
}

/** Name of the store as the source of an update, in log lines. */
const STORE = 'store';

/** The view that this instance has of the platform's store. */
class StoreView implements StoreEvents {
  private state: DesiredState | undefined;

  private hasTargetList = false;

  constructor(private readonly deps: Dependencies) {}

  /** The newest desired state seen by this process. */
  get desired(): DesiredState | undefined {
    return this.state;
  }

  /** Whether both the desired state and the list of targets have been read. */
  get isLoaded(): boolean {
    return this.state !== undefined && this.hasTargetList;
  }

  /** Puts a desired state into force if it is newer than the current one. */
  desiredState(state: DesiredState): void {
    if (state.version <= (this.state?.version ?? 0)) return;
    this.state = state;
    this.deps.onDesiredState(state);
    const { log } = this.deps;
    const { version, routes, pools, workspaces } = state;
    log.event('desired_state', { version, routes: routes.length, pools: pools.size });
    workspaces?.forEach(({ name, ratePerS, burst, keys }) => {
      const limits = { rate_per_s: ratePerS, burst, keys: keys.length };
      log.event('workspace', { version, workspace: name, ...limits });
    });
  }

  drainedDomains(domains: ReadonlySet<string>): void {
    this.deps.table.setDrainedDomains(domains);
    this.deps.log.event('domains_out', { domains: [...domains].join(',') });
  }

  /** Applies an update from the store and relays what is new to the peers. */
  targets(update: TargetUpdate): void {
    // Peers that received every earlier update already have the entries that are not new here.
    const targets = update.targets.filter((target) => this.deps.table.hasNewContent(target));
    this.applyTargets(update, STORE);
    // After a full list the peers may lack more than the entries that are new here, so nothing is relayed.
    if (update.from !== null) this.deps.relay({ ...update, targets });
  }

  /** Applies an update of targets; `source` is the store or the name of the peer that relayed it. */
  applyTargets({ from, to, targets, gone }: TargetUpdate, source: string): void {
    const { table, log, onTargetsRemoved } = this.deps;
    targets.forEach((target) => {
      this.logTarget(target, source, to);
      if (table.hasLongerColdTime(target)) this.logCold(target);
      table.applyEntry(target);
    });
    gone.forEach((id) => {
      table.remove(id);
      log.event('target_gone', { target: id, source, offset: to });
    });
    if (gone.length > 0) onTargetsRemoved();
    if (from !== null) return;
    this.hasTargetList = true;
    log.event('targets_listed', { count: targets.length });
  }

  private logTarget(target: RegisteredTarget, source: string, offset: number): void {
    const { id, pool, address, isLeaving, coldLeftMs, entryNumber } = target;
    const known = this.deps.table.get(id);
    if (known !== undefined && known.entry.isLeaving === isLeaving) return;
    const fields = { target: id, pool, address, leaving: isLeaving, cold_ms: coldLeftMs };
    this.deps.log.event('target_seen', { ...fields, entry: entryNumber, source, offset });
  }

  private logCold({ id, coldLeftMs, entryNumber, bornMs }: RegisteredTarget): void {
    const fields = { target: id, cold_ms: coldLeftMs, entry: entryNumber, born_ms: bornMs };
    this.deps.log.event('target_cold', fields);
  }
}

export default StoreView;
