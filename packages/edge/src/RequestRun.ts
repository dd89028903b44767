import { ErrorKind, ServeError } from '@wisteriapath/model';
import { type DesiredState, RouteSemantics, type TargetView } from '@wisteriapath/fleet';
import type AdmittedRequest from './AdmittedRequest';
import AttemptOutcome from './AttemptOutcome';
import type CallerExchange from './CallerExchange';
import type ChosenTarget from './ChosenTarget';
import type EdgeParts from './EdgeParts';
import EventFramer from './EventFramer';
import type RunEnd from './RunEnd';
import TargetAttempt from './TargetAttempt';
import TargetFinder from './TargetFinder';
import authorize from './authorize';

/** Time before the deadline at which a request that could not be sent is refused. */
const REFUSE_MARGIN_MS = 60;
/** Least time that a target needs. */
const LEAST_RUN_MS = 20;
/** Time for which a target that refused a request is not asked again for it. */
const EXCLUDED_MS = 150;
const MOST_SENDS = 6;
/** Time after which a request may come back that only has to be admitted again. */
const AT_ONCE_MS = 50;
/** Outcomes after which the target may have run the request. */
const MAY_HAVE_RUN = new Set([AttemptOutcome.Broken, AttemptOutcome.Failed, AttemptOutcome.Silent]);
/** Share of the latency target for which a request waits for a target of a plain pool. */
const PLAIN_WAIT_PART = 0.5;

interface Judgement {
  readonly state: DesiredState;
  readonly denial: ServeError | undefined;
}

/** Carries out one admitted request. */
class RequestRun {
  private readonly excluded = new Map<string, number>();

  private readonly framer: EventFramer | null;

  private readonly finder: TargetFinder;

  private runs = 0;

  private sends = 0;

  private waitedMs = 0;

  private target = '';

  private lastFailure: TargetAttempt | null = null;

  /** What the newest desired state that was asked says of the request. */
  private judged: Judgement | undefined;

  constructor(
    private readonly parts: EdgeParts,
    private readonly request: AdmittedRequest,
    private readonly caller: CallerExchange,
  ) {
    const { semantics: nature, resumable } = request.route;
    this.framer = nature === RouteSemantics.Stream && resumable ? new EventFramer() : null;
    this.finder = new TargetFinder(parts);
  }

  async run(): Promise<RunEnd> {
    const { pool, fields } = this.request;
    this.parts.repeats.noteRequest(pool.name);
    if (pool.engine !== null) this.parts.rates.note(pool.name, fields.model, fields.adapter);
    for (;;) {
      const chosen = await this.find();
      if (this.caller.gone.aborted) {
        chosen?.passage.released();
        return this.end(null, 0);
      }
      const denial = this.denial();
      if (denial !== undefined) {
        chosen?.passage.released();
        return this.runs > 0 ? this.giveUp(denial.message) : this.refuse(denial);
      }
      if (chosen === undefined) return this.giveUp('no target could be had in time');
      const { view } = chosen;
      const attempt = new TargetAttempt(this.parts, {
        chosen,
        request: this.request,
        caller: this.caller,
        framer: this.framer,
        keepsFailure: this.isRepeatable && this.runs + 1 < this.request.route.attempts,
      });
      this.sends += 1;
      this.target = view.entry.id;
      const outcome = await attempt.run();
      if (outcome === AttemptOutcome.Answered) {
        this.parts.crashes.clear(this.request.fingerprint);
        return this.end(null, attempt.statusCode);
      }
      if (outcome === AttemptOutcome.CallerLeft) return this.end(null, 0);
      const over = this.note(view, attempt, outcome);
      if (over !== undefined) return over;
    }
  }

  /** Whether the request is no longer worth sending: too late, its caller gone, or forbidden meanwhile. */
  private get isOver(): boolean {
    const { caller, request, parts } = this;
    const lastMs = caller.hasBegun ? request.deadlineAtMs : request.patienceAtMs;
    const isLate = parts.clock.nowMs() > lastMs - LEAST_RUN_MS;
    return isLate || caller.gone.aborted || this.denial() !== undefined;
  }

  /** Why the request may no longer run, if a desired state that came meanwhile forbids it. */
  private denial(): ServeError | undefined {
    const { state, fields, workspace } = this.request;
    const current = this.parts.desired();
    if (current === undefined || current === state) return undefined;
    // Asked with every look of a request that waits.
    if (this.judged?.state === current) return this.judged.denial;
    const denial = authorize(current, fields, this.caller.request.url ?? '/').caseOf({
      Left: (error) => error,
      Right: (allowed): ServeError | undefined =>
        allowed.workspace?.name === workspace?.name
          ? undefined
          : ServeError.notRun(ErrorKind.NoTarget, 'the key went to another workspace', AT_ONCE_MS),
    });
    this.judged = { state: current, denial };
    return denial;
  }

  private get isRepeatable(): boolean {
    return this.request.route.semantics === RouteSemantics.Idempotent || this.framer !== null;
  }

  private async find(): Promise<ChosenTarget | undefined> {
    const { clock } = this.parts;
    const { patienceAtMs, pool, route } = this.request;
    const startedMs = clock.nowMs();
    const lastMs = patienceAtMs - REFUSE_MARGIN_MS;
    const plainMs = startedMs + route.latencyTargetMs * PLAIN_WAIT_PART;
    const untilMs = pool.engine === null ? Math.min(lastMs, plainMs) : lastMs;
    const search = { excluded: this.excluded, untilMs, isOver: () => this.isOver };
    const chosen = await this.finder.find(this.request, search);
    this.waitedMs += clock.nowMs() - startedMs;
    return chosen;
  }

  /** Takes in a failed attempt; answers with the end if no other may follow. */
  private note(
    view: TargetView,
    attempt: TargetAttempt,
    outcome: AttemptOutcome,
  ): RunEnd | undefined {
    const { clock, log, table } = this.parts;
    const { route, fields, fingerprint } = this.request;
    const { id } = view.entry;
    log.event('attempt_failed', {
      request: fields.attemptId,
      route: route.name,
      target: id,
      outcome,
      status: attempt.statusCode,
      sends: this.sends,
    });
    if (outcome === AttemptOutcome.TimeOver) return this.timeOver();
    this.excluded.set(id, clock.nowMs() + EXCLUDED_MS);
    if (MAY_HAVE_RUN.has(outcome)) {
      this.runs += 1;
      this.excluded.set(id, Infinity);
    }
    if (attempt.isMisdirected) table.markAbsent(id, fields.model, fields.adapter);
    if (attempt.kept !== null) this.lastFailure = attempt;
    if (outcome === AttemptOutcome.Broken) this.parts.shareCrash(fingerprint, id);
    return this.mayRepeat(outcome) ? undefined : this.exhausted();
  }

  private mayRepeat(outcome: AttemptOutcome): boolean {
    const { clock, repeats, crashes } = this.parts;
    const { route, pool, deadlineAtMs, fingerprint } = this.request;
    const hasRun = this.runs > 0;
    if (hasRun && (!this.isRepeatable || this.runs >= route.attempts)) return false;
    if (deadlineAtMs - clock.nowMs() < LEAST_RUN_MS || this.sends >= MOST_SENDS) return false;
    if (crashes.isRefused(fingerprint)) return false;
    return outcome === AttemptOutcome.NotSent || repeats.take(pool.name);
  }

  /** The end after the last attempt that was allowed. */
  private exhausted(): RunEnd {
    const kept = this.lastFailure?.kept;
    if (kept && !this.caller.hasBegun) {
      TargetAttempt.pass(this.caller, kept);
      return this.end(null, kept.status);
    }
    return this.giveUp('every attempt failed');
  }

  private timeOver(): RunEnd {
    const message = 'the time for the request was over while a target had it';
    return this.refuse(ServeError.maybeRun(ErrorKind.DeadlineExpired, message));
  }

  private giveUp(message: string): RunEnd {
    const error =
      this.runs > 0
        ? ServeError.maybeRun(ErrorKind.TargetFailed, message)
        : ServeError.notRun(ErrorKind.NoTarget, message);
    return this.refuse(error);
  }

  private refuse(error: ServeError): RunEnd {
    this.caller.refuse(error, this.request.fields.attemptId);
    return this.end(error, 0);
  }

  private end(error: ServeError | null, status: number): RunEnd {
    const { sends, waitedMs, target } = this;
    return { error, status, sends, waitedMs: Math.round(waitedMs), target };
  }
}

export default RequestRun;
