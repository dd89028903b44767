import type { ServeError } from '@wisteriapath/model';
import { SuspectVerdict } from '@wisteriapath/suspects';
import type AdmittedRequest from './AdmittedRequest';
import type EdgeDependencies from './EdgeDependencies';
import suspectError from './suspectError';

/** Whether a request that has something in common with crashes may be sent: freely, as a trial that runs alone, or not. */
class RequestTrial {
  /** Id of the claim under which the request is being tried though it is suspected. */
  private claimId: string | undefined;

  private isAnswered = false;

  constructor(
    private readonly suspects: EdgeDependencies['suspects'],
    private readonly traits: AdmittedRequest['traits'],
  ) {}

  /** The judgement of the request's traits; none of them counts once a target has begun to answer, or in its own trial. */
  get verdict(): SuspectVerdict {
    return this.judgement.verdict;
  }

  /** Why the request must not be sent; undefined if it may, now or later. */
  get refusal(): ServeError | undefined {
    const { verdict, waitMs } = this.judgement;
    return verdict === SuspectVerdict.Refused ? suspectError(waitMs) : undefined;
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

  /** Claims the trial of the request if it may be sent only as one; returns false if another is being tried. */
  claimIfDue(): boolean {
    const { verdict } = this.judgement;
    if (verdict !== SuspectVerdict.Trial) return verdict === SuspectVerdict.Clear;
    this.claimId = this.suspects.claimTrial(this.traits);
    return true;
  }

  /** Lets another request be tried, once an attempt of this one has ended. */
  end(): void {
    if (this.claimId === undefined) return;
    this.suspects.endTrial(this.traits, this.claimId);
    this.claimId = undefined;
  }

  private get judgement() {
    const isSettled = this.isAnswered || this.claimId !== undefined;
    return this.suspects.judge(isSettled ? [] : this.traits);
  }
}

export default RequestTrial;
