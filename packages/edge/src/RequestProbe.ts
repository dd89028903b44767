import type { ServeError } from '@wisteriapath/model';
import { SuspectDecision } from '@wisteriapath/suspects';
import type AdmittedRequest from './AdmittedRequest';
import type EdgeDependencies from './EdgeDependencies';
import suspectError from './suspectError';

/** Time for which a probe that is due waits for a target that another can replace. */
const SPARE_WAIT_MS = 8_000;

/** Whether a request that has something in common with crashes may be sent: freely, as a probe that runs alone, or not. */
class RequestProbe {
  /** Id of the claim under which the request is being tried though it is suspected. */
  private claimId: string | undefined;

  private isAnswered = false;

  constructor(
    private readonly suspects: EdgeDependencies['suspects'],
    private readonly traits: AdmittedRequest['traits'],
  ) {}

  /** What the registry decides on the request's traits; none of them counts once a target has begun to answer, or in its own probe. */
  get decision(): SuspectDecision {
    return this.checked.decision;
  }

  /** Why the request must not be sent; undefined if it may, now or later. */
  get refusal(): ServeError | undefined {
    const { decision, waitMs } = this.checked;
    return decision === SuspectDecision.Refused ? suspectError(waitMs) : undefined;
  }

  /** Whether the request may only be tried on a target that another can replace, as it may crash it. */
  get needsSpareTarget(): boolean {
    const { decision, overdueMs = Infinity } = this.checked;
    return decision === SuspectDecision.Probe && overdueMs < SPARE_WAIT_MS;
  }

  /** Whether a target has begun to answer. */
  get hasBegun(): boolean {
    return this.isAnswered;
  }

  /** Records that a target has begun to answer. */
  recordBegun(): void {
    if (this.isAnswered) return;
    this.isAnswered = true;
    this.suspects.recordAnswer(this.traits);
  }

  /** Claims the probe of the request if it may be sent only as one; returns false if another is being tried. */
  claimIfDue(): boolean {
    const { decision } = this.checked;
    if (decision !== SuspectDecision.Probe) return decision === SuspectDecision.Clear;
    this.claimId = this.suspects.claimProbe(this.traits);
    return true;
  }

  /** Lets another request be tried, once an attempt of this one has ended. */
  end(): void {
    if (this.claimId === undefined) return;
    this.suspects.endProbe(this.traits, this.claimId);
    this.claimId = undefined;
  }

  private get checked() {
    const isSettled = this.isAnswered || this.claimId !== undefined;
    return this.suspects.check(isSettled ? [] : this.traits);
  }
}

export default RequestProbe;
