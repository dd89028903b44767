import {
  appendUntilSettled,
  type LogPort,
  type RecordIds,
  SettlementKind,
  type StreamReplica,
} from '@wisteriapath/log-client';
import { type Clock, Deadline, rendezvousOrder } from '@wisteriapath/model';
import type { DeathProver } from '@wisteriapath/peer';
import type RoleHolder from './RoleHolder';
import RoleRecordKind from './RoleRecordKind';
import type RolesState from './RolesState';
import TakeoverReason from './TakeoverReason';
import type Tenure from './Tenure';

const APPEND_TIMEOUT_MS = 3_000;
const RANK_DELAY_MS = 400;

interface Parts {
  readonly role: string;
  readonly self: RoleHolder;
  readonly log: LogPort;
  readonly replica: StreamReplica<RolesState>;
  readonly ids: RecordIds;
  readonly clock: Clock;
  readonly prover: DeathProver;
  /** Names of the instances that may hold the role, this one included. */
  readonly candidates: () => readonly string[];
  readonly checkIntervalMs: number;
  /** Silence after which the role is taken without proof; undefined if it never may be. */
  readonly silenceLimitMs?: number;
  /** Whether that process answered a heartbeat lately, so that it need not be probed. */
  readonly hasRecentHeartbeat: (incarnation: string) => boolean;
  /** Whether that process says that it has folded the roles stream beyond an offset. */
  readonly hasFolded: (incarnation: string, offset: number) => boolean;
  /** Time between two records that keep a tenure from expiring with the log's retention. */
  readonly renewIntervalMs: number;
  readonly onTaken: (tenure: Tenure) => void;
}

/** The task by which an instance takes and keeps one role. */
class RoleElector {
  private readonly stopping = new AbortController();

  private running: Promise<void> | undefined;

  private silentSinceMs: number | undefined;

  private renewedAtMs = 0;

  constructor(private readonly parts: Parts) {}

  /** The tenure as this instance knows it. */
  get tenure(): Tenure | undefined {
    return this.parts.replica.state.tenures.get(this.parts.role);
  }

  /** True while this process holds the role. */
  get held(): boolean {
    const { tenure } = this;
    return (
      tenure !== undefined &&
      !tenure.released &&
      tenure.holder.incarnation === this.parts.self.incarnation
    );
  }

  start(): void {
    this.running ??= this.keep();
  }

  /** Stops seeking the role and releases it if held. */
  async release(timeoutMs: number): Promise<void> {
    this.stopping.abort();
    await this.running;
    if (!this.held) return;
    const { role } = this.parts;
    await this.append(
      { kind: RoleRecordKind.Release, role, expectedEpoch: this.tenure!.epoch },
      timeoutMs,
    );
  }

  private async keep(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      if (this.held) await this.maintain();
      else await this.seek();
      const waitMs = this.parts.checkIntervalMs * (this.held ? 1 : 1 + this.rank());
      await this.parts.clock.sleep(waitMs, signal);
    }
  }

  private async maintain(): Promise<void> {
    await this.clearPredecessors();
    const { role, clock, renewIntervalMs } = this.parts;
    if (!this.held || clock.nowMs() - this.renewedAtMs < renewIntervalMs) return;
    this.renewedAtMs = clock.nowMs();
    const body = { kind: RoleRecordKind.Renew, role, tenure: this.tenure };
    await this.append(body, APPEND_TIMEOUT_MS);
  }

  private async seek(): Promise<void> {
    const { clock, replica } = this.parts;
    if (!replica.caughtUp) return;
    const before = this.tenure;
    const reason = await this.takeoverReason(before);
    if (reason === undefined) return;
    await clock.sleep(this.rank() * RANK_DELAY_MS, this.stopping.signal);
    if (this.stopping.signal.aborted || this.tenure !== before) return;
    await this.take(before?.epoch ?? 0, reason);
  }

  private rank(): number {
    const { role, self, candidates } = this.parts;
    const order = rendezvousOrder(role, candidates());
    const rank = order.indexOf(self.name);
    return rank < 0 ? order.length : rank;
  }

  private async takeoverReason(before: Tenure | undefined): Promise<TakeoverReason | undefined> {
    if (before === undefined) return TakeoverReason.Vacant;
    if (before.released) return TakeoverReason.Released;
    const { holder } = before;
    if (this.parts.replica.state.vouchedDown.has(holder.incarnation)) return TakeoverReason.Vouched;
    if (this.parts.hasRecentHeartbeat(holder.incarnation)) {
      this.silentSinceMs = undefined;
      return undefined;
    }
    if (await this.parts.prover.isDead(holder)) return TakeoverReason.ProvedDead;
    return (await this.isSilent(holder)) ? TakeoverReason.Silent : undefined;
  }

  private async isSilent(holder: RoleHolder): Promise<boolean> {
    const { silenceLimitMs, clock, prover } = this.parts;
    if (silenceLimitMs === undefined) return false;
    if (await prover.isAlive(holder)) {
      this.silentSinceMs = undefined;
      return false;
    }
    this.silentSinceMs ??= clock.nowMs();
    return clock.nowMs() - this.silentSinceMs >= silenceLimitMs;
  }

  private async take(expectedEpoch: number, reason: TakeoverReason): Promise<void> {
    const { role, self: holder } = this.parts;
    const body = { kind: RoleRecordKind.Take, role, expectedEpoch, holder, reason };
    const accepted = await this.append(body, APPEND_TIMEOUT_MS);
    this.silentSinceMs = undefined;
    if (!accepted || !this.held) return;
    this.renewedAtMs = this.parts.clock.nowMs();
    this.parts.onTaken(this.tenure!);
  }

  /** Records that holders once taken over on silence are dead or know that they lost the role. */
  private async clearPredecessors(): Promise<void> {
    const { role, prover, hasFolded } = this.parts;
    const tenure = this.tenure!;
    for (const holder of tenure.unproved) {
      const { incarnation } = holder;
      const harmless = hasFolded(incarnation, tenure.sinceOffset) || (await prover.isDead(holder));
      if (harmless) {
        await this.append({ kind: RoleRecordKind.Clear, role, incarnation }, APPEND_TIMEOUT_MS);
      }
    }
  }

  private async append(body: object, timeoutMs: number): Promise<boolean> {
    const { log, clock, replica, ids } = this.parts;
    const deadline = Deadline.after(clock, timeoutMs);
    const settled = await appendUntilSettled({ log, clock }, replica, ids.next(), body, deadline);
    return settled.kind === SettlementKind.Accepted;
  }
}

export default RoleElector;
