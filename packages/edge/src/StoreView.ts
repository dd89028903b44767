import {
  type DesiredState,
  type EventLog,
  type RegisteredTarget,
  type StoreEvents,
  type TargetUpdate,
  type TargetTable,
} from '@wisteriapath/fleet';

interface Parts {
  readonly table: TargetTable;
  readonly log: EventLog;
  /** A newer desired state is in force. */
  readonly changed: (state: DesiredState) => void;
  /** Targets are gone; their ids and addresses are no longer needed. */
  readonly forgotten: () => void;
  /** What the store said of targets, for the peers. */
  readonly pass: (news: TargetUpdate) => void;
}

/** What this instance knows from the platform's store. */
class StoreView implements StoreEvents {
  private state: DesiredState | undefined;

  private isListed = false;

  constructor(private readonly parts: Parts) {}

  /** The newest desired state that this process has seen. */
  get desired(): DesiredState | undefined {
    return this.state;
  }

  /** Whether desired state and targets have been read. */
  get isWhole(): boolean {
    return this.state !== undefined && this.isListed;
  }

  desiredState(state: DesiredState): void {
    if (state.version <= (this.state?.version ?? 0)) return;
    this.state = state;
    this.parts.changed(state);
    const { log } = this.parts;
    const { version, routes, pools, workspaces } = state;
    log.event('desired_state', { version, routes: routes.length, pools: pools.size });
    workspaces?.forEach(({ name, ratePerS, burst, keys }) => {
      const limits = { rate_per_s: ratePerS, burst, keys: keys.length };
      log.event('workspace', { version, workspace: name, ...limits });
    });
  }

  drainedDomains(domains: ReadonlySet<string>): void {
    this.parts.table.setDrainedDomains(domains);
    this.parts.log.event('domains_out', { domains: [...domains].join(',') });
  }

  targets(news: TargetUpdate): void {
    // Peers that have heard all news so far know what this instance knew.
    const targets = news.targets.filter((target) => this.parts.table.hasNewContent(target));
    this.takeTargets(news);
    // After a full list the peers may lack more than what is new here.
    if (news.from !== null) this.parts.pass({ ...news, targets });
  }

  /** Takes in what a peer, or the store, says of targets. */
  takeTargets({ from, targets, gone }: TargetUpdate): void {
    const { table, log, forgotten } = this.parts;
    targets.forEach((target) => {
      this.logTarget(target);
      if (table.hasLongerColdTime(target)) this.logCold(target);
      table.applyEntry(target);
    });
    gone.forEach((id) => {
      table.remove(id);
      log.event('target_gone', { target: id });
    });
    if (gone.length > 0) forgotten();
    if (from !== null) return;
    this.isListed = true;
    log.event('targets_listed', { count: targets.length });
  }

  private logTarget({ id, pool, address, isLeaving, coldLeftMs }: RegisteredTarget): void {
    const known = this.parts.table.get(id);
    if (known !== undefined && known.entry.isLeaving === isLeaving) return;
    const fields = { target: id, pool, address, leaving: isLeaving, cold_ms: coldLeftMs };
    this.parts.log.event('target_seen', fields);
  }

  private logCold({ id, coldLeftMs, entryNumber, bornMs }: RegisteredTarget): void {
    const fields = { target: id, cold_ms: coldLeftMs, entry: entryNumber, born_ms: bornMs };
    this.parts.log.event('target_cold', fields);
  }
}

export default StoreView;
