import {
  appendUntilSettled,
  type LogPort,
  type RecordIds,
  OutcomeKind,
  type StreamReplica,
} from '@wisteriapath/log-client';
import { type Clock, Deadline, rendezvousOrder } from '@wisteriapath/model';
import type { DeathProver } from '@wisteriapath/peer';
import type RoleHolder from './RoleHolder';
import RoleRecordKind from './RoleRecordKind';
import type RolesState from './RolesState';
import TakeoverReason from './TakeoverReason';
import type Tenure from './Tenure';

/** Time after which the outcome of an appended record is given up. */
const APPEND_TIMEOUT_MS = 3_000;
/** Delay per rank before a take is appended, so that the preferred candidate comes first. */
const TAKEOVER_DELAY_PER_RANK_MS = 400;

interface Parts {
  readonly role: string;
  readonly self: RoleHolder;
  readonly log: LogPort;
  readonly replica: StreamReplica<RolesState>;
  readonly ids: RecordIds;
  readonly clock: Clock;
  readonly prover: DeathProver;
  /** Returns the names of the instances that may hold the role, this one included. */
  readonly candidates: () => readonly string[];
  /** Time between two checks of the role; longer for candidates of a lower rank. */
  readonly checkIntervalMs: number;
  /** Silence after which the role is taken without proof of death; undefined disables this. */
  readonly silenceLimitMs?: number;
  /** Returns whether that process recently answered a heartbeat, so that it need not be probed. */
  readonly hasRecentHeartbeat: (incarnation: string) => boolean;
  /** Returns whether that process reports to have folded the roles stream beyond an offset. */
  readonly hasPeerApplied: (incarnation: string, offset: number) => boolean;
  /** Time between two renewals, which keep the tenure within the log's retention. */
  readonly renewIntervalMs: number;
  /** Called when this instance has taken the role. */
  readonly onTaken: (tenure: Tenure) => void;
}

/** A background task that acquires one role for this instance and keeps it. */
class RoleElector {
  private readonly stopping = new AbortController();

  private running: Promise<void> | undefined;

  private silentSinceMs: number | undefined;

  private renewedAtMs = 0;

  constructor(private readonly parts: Parts) {}

  /** The latest tenure that this instance knows of. */
  get tenure(): Tenure | undefined {
    return this.parts.replica.state.tenures.get(this.parts.role);
  }

  /** True while this process holds the role. */
  get isHeld(): boolean {
    const { tenure } = this;
    return (
      tenure !== undefined &&
      !tenure.released &&
      tenure.holder.incarnation === this.parts.self.incarnation
    );
  }

  /** Starts the task. Further calls have no effect. */
  start(): void {
    this.running ??= this.run();
  }

  /** Stops the task and releases the role if this instance holds it. */
  async release(timeoutMs: number): Promise<void> {
    this.stopping.abort();
    await this.running;
    if (!this.isHeld) return;
    const { role } = this.parts;
    await this.append(
      { kind: RoleRecordKind.Release, role, expectedEpoch: this.tenure!.epoch },
      timeoutMs,
    );
  }

  private async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      if (this.isHeld) await this.maintainTenure();
      else await this.tryTakeover();
      const waitMs = this.parts.checkIntervalMs * (this.isHeld ? 1 : 1 + this.rank());
      await this.parts.clock.sleep(waitMs, signal);
    }
  }

  private async maintainTenure(): Promise<void> {
    await this.clearPredecessors();
    const { role, clock, renewIntervalMs } = this.parts;
    if (!this.isHeld || clock.nowMs() - this.renewedAtMs < renewIntervalMs) return;
    this.renewedAtMs = clock.nowMs();
    const body = { kind: RoleRecordKind.Renew, role, tenure: this.tenure };
    await this.append(body, APPEND_TIMEOUT_MS);
  }

  private async tryTakeover(): Promise<void> {
    const { clock, replica } = this.parts;
    if (!replica.isCaughtUp) return;
    const previous = this.tenure;
    const reason = await this.takeoverReason(previous);
    if (reason === undefined) return;
    await clock.sleep(this.rank() * TAKEOVER_DELAY_PER_RANK_MS, this.stopping.signal);
    if (this.stopping.signal.aborted || this.tenure !== previous) return;
    await this.take(previous?.epoch ?? 0, reason);
  }

  private rank(): number {
    const { role, self, candidates } = this.parts;
    const order = rendezvousOrder(role, candidates());
    const rank = order.indexOf(self.name);
    return rank < 0 ? order.length : rank;
  }

  private async takeoverReason(previous: Tenure | undefined): Promise<TakeoverReason | undefined> {
    if (previous === undefined) return TakeoverReason.Vacant;
    if (previous.released) return TakeoverReason.Released;
    const { holder } = previous;
    if (this.parts.replica.state.vouchedDown.has(holder.incarnation)) return TakeoverReason.Vouched;
    if (this.parts.hasRecentHeartbeat(holder.incarnation)) {
      this.silentSinceMs = undefined;
      return undefined;
    }
    if (await this.parts.prover.isProvedDead(holder)) return TakeoverReason.ProvedDead;
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
    if (!accepted || !this.isHeld) return;
    this.renewedAtMs = this.parts.clock.nowMs();
    this.parts.onTaken(this.tenure!);
  }

  /** Clears holders that were replaced for silence once they are dead or know of their loss. */
  private async clearPredecessors(): Promise<void> {
    const { role, prover, hasPeerApplied: hasFolded } = this.parts;
    const tenure = this.tenure!;
    for (const holder of tenure.unproved) {
      const { incarnation } = holder;
      const isHarmless =
        hasFolded(incarnation, tenure.sinceOffset) || (await prover.isProvedDead(holder));
      if (isHarmless) {
        await this.append({ kind: RoleRecordKind.Clear, role, incarnation }, APPEND_TIMEOUT_MS);
      }
    }
  }

  private async append(body: object, timeoutMs: number): Promise<boolean> {
    const { log, clock, replica, ids } = this.parts;
    const deadline = Deadline.after(clock, timeoutMs);
    const settled = await appendUntilSettled({ log, clock }, replica, ids.next(), body, deadline);
    return settled.kind === OutcomeKind.Accepted;
  }
}

export default RoleElector;
