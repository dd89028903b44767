import { ErrorKind, ServeError } from '@wisteriapath/model';
import { RouteSemantics, type TargetView } from '@wisteriapath/fleet';
import { ResponseFraming } from '@wisteriapath/response-ends';
import { SuspectDecision } from '@wisteriapath/suspects';
import type AdmittedRequest from './AdmittedRequest';
import type AnsweredRequest from './AnsweredRequest';
import AttemptOutcome from './AttemptOutcome';
import type CallerExchange from './CallerExchange';
import type ChosenTarget from './ChosenTarget';
import type EdgeDependencies from './EdgeDependencies';
import EventFramer from './EventFramer';
import ExchangeEnd from './ExchangeEnd';
import type RequestResult from './RequestResult';
import RequestAuthorization from './RequestAuthorization';
import RequestStep from './RequestStep';
import RequestProbe from './RequestProbe';
import TargetAttempt from './TargetAttempt';
import TargetFinder from './TargetFinder';
import awaitRunEnd from './awaitRunEnd';
import finalErrors from './finalErrors';
import mayRunAgain from './mayRunAgain';
import outcomeKinds from './outcomeKinds';
import searchTimes from './searchTimes';
import sendResponse from './sendResponse';

/** Minimum time that a target needs to run a request. */
const MIN_RUN_MS = 20;
/** Time for which a target that refused a request is not chosen for it again, and the same for the rest of a stream, which is sent more often. */
const EXCLUSION_MS = 150;
const REST_EXCLUSION_MS = 300;
const MAX_SENDS = 6;
const MAX_LOGGED_PARTS = 8;
const CLIENT_ERROR = 400;
const PROBE_POLL_INTERVAL_MS = 25;

/** The execution of one admitted request, with as many attempts as its route and the limits allow. */
class RequestExecution {
  private readonly excluded = new Map<string, number>();

  /** Ids of the targets that refused the request. */
  private readonly refusedBy = new Set<string>();

  private readonly framer: EventFramer | null;

  private readonly finder: TargetFinder;

  /** Attempts in which the target may have run the request. */
  private executions = 0;

  private sends = 0;

  /** When the last run ended, on the monotonic clock; undefined if none has. */
  private runEndedAtMs: number | undefined;

  private waitedMs = 0;

  private lastTargetId = '';

  /** When the request was first sent to a target, on the monotonic clock; undefined until then. */
  private firstSentAtMs: number | undefined;

  /** Ends the request as one that is under way; undefined until it is first sent. */
  private recordEnd: (() => void) | undefined;

  private stopRefusal: ServeError | undefined;

  /** Whether this instance itself has ended a run, so that the stream goes on elsewhere. */
  private isTaken = false;

  private lastFailure: TargetAttempt | null = null;

  private readonly probe: RequestProbe;

  private readonly authorization: RequestAuthorization;

  constructor(
    private readonly deps: EdgeDependencies,
    private readonly request: AdmittedRequest,
    private readonly caller: CallerExchange,
  ) {
    const { route } = request;
    this.probe = new RequestProbe(deps.suspects, request.traits);
    this.authorization = new RequestAuthorization(deps.desired, request, caller.request.url ?? '/');
    const isResumable = route.semantics === RouteSemantics.Stream && mayRunAgain(route);
    this.framer = isResumable ? new EventFramer() : null;
    this.finder = new TargetFinder(deps);
  }

  /** Runs the request until it is answered, fails or is no longer allowed. */
  async run(): Promise<RequestResult> {
    try {
      return await this.runAttempts();
    } finally {
      this.recordEnd?.();
    }
  }

  private async runAttempts(): Promise<RequestResult> {
    const { pool, fields, waitOrder } = this.request;
    this.deps.retryBudgets.recordRequest(pool.name);
    if (pool.engine !== null) {
      const { model, adapter } = fields;
      this.deps.rates.record(pool.name, model, adapter, waitOrder?.isDeferrable);
    }
    for (;;) {
      this.caller.reach(RequestStep.Waiting);
      await this.waitForProbe();
      const chosen = await this.findTarget();
      if (this.caller.disconnectSignal.aborted) {
        chosen?.reservation.release();
        return this.result(null, 0);
      }
      const denial = this.denial();
      if (denial !== undefined) {
        chosen?.reservation.release();
        return this.executions > 0 ? this.fail(denial.message) : this.sendError(denial);
      }
      if (chosen === undefined) return this.failUnserved();
      if (!this.probe.claimIfDue()) {
        chosen.reservation.release();
        continue;
      }
      const { view } = chosen;
      const attempt = new TargetAttempt(this.deps, {
        chosen,
        request: this.request,
        caller: this.caller,
        framer: this.framer,
        maySend: () => !this.isOver && this.probe.decision === SuspectDecision.Clear,
        mayRunAgain: () => this.authorization.isRetryable,
        keepsFailure:
          this.authorization.isRetryable && this.executions + 1 < this.request.route.attempts,
        mayGoElsewhere: () => this.mayGoElsewhere,
        tryReserveRetry: () => this.mayGoElsewhere && this.canRetry(AttemptOutcome.Broken),
        onBegun: () => this.recordBegun(),
      });
      const sentAtMs = this.deps.clock.nowMs();
      this.firstSentAtMs ??= sentAtMs;
      this.recordEnd ??= this.deps.stopGate.recordBegun(this.answeredRequest, sentAtMs);
      this.sends += 1;
      this.lastTargetId = view.entry.id;
      this.caller.reach(RequestStep.Sent);
      const outcome = await attempt.run();
      this.isTaken ||= outcomeKinds.taken.has(outcome);
      if (outcome === AttemptOutcome.Broken) await this.reportCrash(view, attempt, sentAtMs);
      this.probe.end();
      this.recordTime(attempt, outcome, sentAtMs);
      if (outcome === AttemptOutcome.Answered) return this.finishAnswered(attempt);
      if (outcome === AttemptOutcome.CallerDisconnected) return this.result(null, 0);
      const result = this.handleFailure(view, attempt, outcome);
      if (result !== undefined) return result;
      if (!(await this.hasRunEnded(view, attempt, outcome))) return this.finishWithoutRetry();
    }
  }

  /** Notes that a target has begun to answer; counts that once for each request. A failure was run, too. */
  private recordBegun(): void {
    const { workspace } = this.request;
    if (!this.probe.hasBegun && workspace !== null) this.deps.recordUsage?.(workspace.name);
    this.probe.recordBegun();
  }

  /** Whether the request must not be sent any more: too late, caller disconnected, or no longer authorized. */
  private get isOver(): boolean {
    return this.isLate || this.denial() !== undefined;
  }

  /** Whether it is too late to send the request, or its caller has left. */
  private get isLate(): boolean {
    return this.deps.clock.nowMs() > this.lastSendMs || this.caller.disconnectSignal.aborted;
  }

  /** Time from which it is too late to send the request, on the monotonic clock. */
  private get lastSendMs(): number {
    const { deadlineAtMs, firstEventDeadlineAtMs } = this.request;
    return (this.caller.hasStarted ? deadlineAtMs : firstEventDeadlineAtMs) - MIN_RUN_MS;
  }

  /** Returns why the request may not be sent any more, though it was admitted; undefined if it may. */
  private denial(): ServeError | undefined {
    return this.stopError() ?? this.lastingDenial;
  }

  /** Why the request may not be sent any more, whether or not a stop has begun; undefined if it may. */
  private get lastingDenial(): ServeError | undefined {
    const { authorization } = this;
    const denial = this.caller.hasStarted ? authorization.denialOfRest : authorization.denial;
    return denial ?? this.probe.refusal;
  }

  /**
   * Returns a refusal once a shutdown leaves no time to run the request, or the rest of a stream that has begun. A stream that was taken
   * from its target goes on, whatever is expected of its rest: nothing but this instance has ended its run.
   */
  private stopError(): ServeError | undefined {
    if (this.isTaken) {
      return this.deps.stopSignal.aborted ? finalErrors[AttemptOutcome.Stopped] : undefined;
    }
    const { begunAtMs } = this;
    const mayHaveRun = this.executions > 0;
    this.stopRefusal ??= this.deps.stopGate.refusal(this.request, { begunAtMs, mayHaveRun });
    return this.stopRefusal;
  }

  /** When the request was first sent, if its caller has received the beginning of a response; else undefined. */
  private get begunAtMs(): number | undefined {
    return this.caller.hasStarted ? this.firstSentAtMs : undefined;
  }

  /** Records how long an answer took that one target gave from its beginning, or would have taken at least. */
  private recordTime(attempt: TargetAttempt, outcome: AttemptOutcome, sentAtMs: number): void {
    const { firstEventAtMs, statusCode } = attempt;
    if (this.executions > 0 || statusCode >= CLIENT_ERROR) return;
    if (!outcomeKinds.timed.has(outcome)) return;
    this.deps.stopGate.recordAnswer(this.answeredRequest, {
      firstEventMs: firstEventAtMs === undefined ? null : firstEventAtMs - sentAtMs,
      totalMs: this.deps.clock.nowMs() - sentAtMs,
    });
  }

  /** What tells how long answers to requests like this one take. */
  private get answeredRequest(): AnsweredRequest {
    const { pool, route, fields } = this.request;
    const { model, outputTokens, estimatedTokens } = fields;
    return { pool: pool.name, route: route.name, model, outputTokens, estimatedTokens };
  }

  /** Waits while another request with the same suspected traits is being tried. */
  private async waitForProbe(): Promise<void> {
    const { clock } = this.deps;
    while (this.probe.decision === SuspectDecision.Wait && !this.isOver) {
      await clock.sleep(PROBE_POLL_INTERVAL_MS);
    }
  }

  /**
   * Reports that the target that ran the request crashed or broke the connection, unless it had begun to answer. One whose response
   * was rejected did neither, if it goes on running.
   */
  private async reportCrash(
    { entry }: TargetView,
    { exchangeEnd }: TargetAttempt,
    sentAtMs: number,
  ): Promise<void> {
    if (this.probe.hasBegun) return;
    const hasEnded = await this.deps.probe.hasEnded(entry.address);
    if (exchangeEnd === ExchangeEnd.Rejected && !hasEnded) return;
    const crashId = `${entry.id}@${entry.bornMs}`;
    const { traits } = this.request;
    this.deps.suspects.recordCrash({ crashId, hasEnded, traits, sentAtMs });
  }

  private async findTarget(): Promise<ChosenTarget | undefined> {
    const { clock } = this.deps;
    const startedMs = clock.nowMs();
    const quietSinceMs = this.caller.hasStarted ? (this.runEndedAtMs ?? startedMs) : undefined;
    const search = {
      excluded: this.excluded,
      ...searchTimes(this.request, { nowMs: startedMs, quietSinceMs }),
      isOver: () => this.isOver,
      needsSpare: () => this.probe.needsSpareTarget,
    };
    const chosen = await this.finder.find(this.request, search);
    this.waitedMs += clock.nowMs() - startedMs;
    return chosen;
  }

  /** Ends an answered request; logs an answer of which only its connection showed the end. */
  private finishAnswered(attempt: TargetAttempt): RequestResult {
    const { framing, end } = attempt.endFields;
    if (framing === ResponseFraming.Close) {
      const { fields, route } = this.request;
      this.deps.log.event('answer_unframed', {
        request: fields.attemptId,
        route: route.name,
        target: this.lastTargetId,
        status: attempt.statusCode,
        end,
      });
    }
    return this.result(null, attempt.statusCode);
  }

  /** Handles a failed attempt; returns the result of the request if no further attempt is allowed. */
  private handleFailure(
    view: TargetView,
    attempt: TargetAttempt,
    outcome: AttemptOutcome,
  ): RequestResult | undefined {
    const { clock, log, table } = this.deps;
    const { route, fields } = this.request;
    const { id } = view.entry;
    log.event('attempt_failed', {
      request: fields.attemptId,
      route: route.name,
      target: id,
      outcome,
      status: attempt.statusCode,
      ...attempt.endFields,
      began: this.probe.hasBegun,
      shared_parts: fields.sharedParts.slice(0, MAX_LOGGED_PARTS).join(','),
      sends: this.sends,
    });
    const finalError = finalErrors[outcome];
    if (finalError !== undefined) return this.sendError(finalError);
    const exclusionMs = this.caller.hasStarted ? REST_EXCLUSION_MS : EXCLUSION_MS;
    this.excluded.set(id, clock.nowMs() + exclusionMs);
    if (outcome === AttemptOutcome.NotExecuted) this.refusedBy.add(id);
    if (outcomeKinds.possiblyExecuted.has(outcome)) {
      this.executions += 1;
      this.runEndedAtMs = clock.nowMs();
      this.excluded.set(id, Infinity);
    }
    if (attempt.isMisdirected) table.markAbsent(id, fields.model, fields.adapter);
    if (attempt.keptResponse !== null) this.lastFailure = attempt;
    return this.canRetry(outcome) ? undefined : this.finishWithoutRetry();
  }

  /** Waits until an engine whose stream broke off no longer runs it; resolves to false if that is not known in time. */
  private async hasRunEnded(
    { entry: target }: TargetView,
    { firstEventAtMs }: TargetAttempt,
    outcome: AttemptOutcome,
  ): Promise<boolean> {
    const { pool, fields } = this.request;
    const isCutOffStream = outcomeKinds.cutOff.has(outcome) && this.framer !== null;
    if (!isCutOffStream || pool.engine === null) return true;
    return awaitRunEnd(this.deps, {
      attemptId: fields.attemptId,
      target,
      settledAtMs: firstEventAtMs ?? this.deps.clock.nowMs(),
      lastMs: this.lastSendMs,
      overSignal: AbortSignal.any([this.caller.disconnectSignal, this.deps.stopSignal]),
    });
  }

  private canRetry(outcome: AttemptOutcome): boolean {
    const { clock, retryBudgets } = this.deps;
    const { route, pool, deadlineAtMs } = this.request;
    const mayHaveRun = this.executions > 0;
    if (mayHaveRun && (!this.authorization.isRetryable || this.executions >= route.attempts)) {
      return false;
    }
    if (deadlineAtMs - clock.nowMs() < MIN_RUN_MS) return false;
    // The rest of a stream cannot be refused; its sends are bounded by the time for which its caller waits.
    if (this.sends >= MAX_SENDS && !this.caller.hasStarted) return false;
    if (this.probe.refusal !== undefined) return false;
    return outcomeKinds.withoutRetry.has(outcome) || retryBudgets.tryTake(pool.name);
  }

  /** Whether a stream that still runs could be resumed elsewhere, if a retry is left. */
  private get mayGoElsewhere(): boolean {
    if (this.isLate || this.lastingDenial !== undefined) return false;
    const { request, begunAtMs, isTaken } = this;
    const isServed =
      isTaken || this.deps.stopGate.wouldServe(request, { begunAtMs, mayHaveRun: true });
    const hasAttempt = this.executions + 1 < request.route.attempts;
    return isServed && hasAttempt && this.authorization.isRetryable;
  }

  /** Ends the request after its last attempt, with the kept response of a failed attempt if there is one. */
  private finishWithoutRetry(): RequestResult {
    const kept = this.lastFailure?.keptResponse;
    if (kept && !this.caller.hasStarted) {
      sendResponse(this.caller, kept);
      return this.result(null, kept.status);
    }
    return this.fail('every attempt failed');
  }

  private failUnserved(): RequestResult {
    const retryAfterMs = this.finder.retryAfterMs(this.request);
    return this.fail('no target became available in time', retryAfterMs);
  }

  private fail(message: string, retryAfterMs?: number): RequestResult {
    const error =
      this.executions > 0
        ? ServeError.maybeExecuted(ErrorKind.TargetFailed, message)
        : ServeError.notExecuted(ErrorKind.NoTarget, message, retryAfterMs);
    return this.sendError(error);
  }

  private sendError(error: ServeError): RequestResult {
    this.caller.sendError(error, this.request.fields.attemptId);
    return this.result(error, 0);
  }

  private result(error: ServeError | null, status: number): RequestResult {
    const { sends, waitedMs, lastTargetId } = this;
    const refusals = this.refusedBy.size;
    return { error, status, sends, refusals, waitedMs: Math.round(waitedMs), lastTargetId };
  }
}

export default RequestExecution;
