import {
  type EventLog,
  LeavingSource,
  type RegisteredTarget,
  type TargetTable,
} from '@wisteriapath/fleet';
import type ResponseFields from './ResponseFields';
import type TargetConnections from './TargetConnections';

interface Dependencies {
  readonly table: TargetTable;
  readonly connections: TargetConnections;
  readonly log: EventLog;
  /** Tells the peers of targets that said that they are leaving, by id and start. */
  readonly announce: (targets: readonly (readonly [string, number])[]) => void;
}

/** Takes note of what targets say about themselves in their responses. */
class TargetSignals {
  constructor(private readonly deps: Dependencies) {}

  /** Takes note of a response that this instance got. */
  record({ id, bornMs }: RegisteredTarget, { isLeaving, pauseMs }: ResponseFields): void {
    const { table, log, announce } = this.deps;
    if (pauseMs !== null) {
      table.pause(id, bornMs, pauseMs);
      log.event('target_paused', { target: id, for_ms: Math.round(pauseMs) });
    }
    if (isLeaving && this.markLeaving(id, bornMs, LeavingSource.Target)) announce([[id, bornMs]]);
  }

  /** Takes note of targets of which a peer says that they are leaving. */
  recordFromPeer(targets: readonly (readonly [string, number])[]): void {
    targets.forEach(([id, bornMs]) => this.markLeaving(id, bornMs, LeavingSource.Peer));
  }

  private markLeaving(id: string, bornMs: number, source: LeavingSource): boolean {
    const { table, connections, log } = this.deps;
    if (!table.markLeaving(id, bornMs, source)) return false;
    const address = table.get(id)?.entry.address ?? '';
    log.event('target_says_leaving', { target: id, address, source: LeavingSource[source] });
    connections.retire(address);
    return true;
  }
}

export default TargetSignals;
