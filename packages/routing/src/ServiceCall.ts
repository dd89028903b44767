import { type Either, Left, Right } from 'purify-ts';
import {
  type Clock,
  ErrorKind,
  ExecutionStatus,
  type RetryBudget,
  ServeError,
  sha256Hex,
} from '@wisteriapath/model';
import { hasBody } from '@wisteriapath/response-ends';
import { type Slot, TargetOutcome } from '@wisteriapath/placement';
import type ResponseSink from './ResponseSink';
import Attempt from './Attempt';
import AttemptLog from './AttemptLog';
import type CallContext from './CallContext';
import type ClaimRegistry from './ClaimRegistry';
import type ClaimOutcome from './ClaimOutcome';
import ExchangeFailure from './ExchangeFailure';
import type GuardedTargetClient from './GuardedTargetClient';
import type HttpCall from './HttpCall';
import type SlotAcquirer from './SlotAcquirer';
import readBounded from './readBounded';
import requestFingerprint from './requestFingerprint';

interface Parts {
  readonly clock: Clock;
  readonly slotAcquirer: SlotAcquirer;
  readonly targets: GuardedTargetClient;
  readonly claims: ClaimRegistry;
  readonly retries: RetryBudget;
  /** Time before the deadline that is reserved for releasing a claim. */
  readonly answerMarginMs: number;
}

interface FullResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

const MAX_ATTEMPTS = 3;
const MAX_RECORDED_BODY_BYTES = 32_768;
const MAX_BODY_BYTES = 8 * 1_024 * 1_024;
const KEY_HEADER = 'idempotency-key';

const replay = (outcome: ClaimOutcome): Either<ServeError, FullResponse> => {
  if (outcome.bodyBase64 === null) {
    const message = `the call ran with status ${outcome.status}; its response was too long to be recorded`;
    return Left(new ServeError(ErrorKind.OutcomeUnknown, message, ExecutionStatus.Executed));
  }
  const body = Buffer.from(outcome.bodyBase64, 'base64');
  const { status, contentType } = outcome;
  return Right({ status, contentType, body });
};

/** Forwards calls to plain HTTP services. */
class ServiceCall {
  constructor(private readonly parts: Parts) {}

  /** Writes the response to the sink. An error is returned only if nothing has been written. */
  async run(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
  ): Promise<Either<ServeError, void>> {
    const answered = context.call.route.idempotent
      ? await this.runIdempotent(context, http, sink)
      : await this.runAtMostOnce(context, http, sink);
    answered.ifRight(({ status, contentType, body }) => {
      const headers: Record<string, string> = { 'content-type': contentType };
      if (hasBody(http.method, status)) headers['content-length'] = String(body.length);
      sink.begin(status, headers);
      void sink.write(body);
      sink.end();
    });
    return answered.map(() => undefined);
  }

  private async runIdempotent(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
  ): Promise<Either<ServeError, FullResponse>> {
    const attempts = new AttemptLog(this.parts.clock);
    const admitted = await this.parts.targets.admit(requestFingerprint(context, http.body));
    if (admitted.isLeft()) return admitted;
    this.parts.retries.recordRequest();
    const done = admitted.unsafeCoerce();
    try {
      for (;;) {
        const slot = await this.acquireSlot(context, attempts);
        if (slot.isLeft()) return Left(attempts.withExecutionState(slot.extract()));
        const response = await this.exchange(context, http, sink, slot.unsafeCoerce(), attempts);
        if (response.isRight()) return response.mapLeft(() => attempts.finalError());
        await this.parts.targets.waitForCrashReports();
        const isOver = attempts.failureCount >= MAX_ATTEMPTS || context.deadline.isExpired();
        const isAborted = response.extract() === ExchangeFailure.Aborted;
        if (isOver || isAborted || !this.parts.retries.take()) return Left(attempts.finalError());
      }
    } finally {
      done();
    }
  }

  private async runAtMostOnce(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
  ): Promise<Either<ServeError, FullResponse>> {
    const idempotencyKey = http.headers[KEY_HEADER] ?? '';
    if (idempotencyKey === '') {
      const message = 'this route needs an Idempotency-Key header';
      return Left(ServeError.notExecuted(ErrorKind.BadRequest, message));
    }
    const { caller, routeName } = context.call;
    const key = sha256Hex(`${caller.workspace}\n${routeName}\n${idempotencyKey}`);
    const bodySha256 = sha256Hex(
      Buffer.concat([Buffer.from(`${http.method} ${http.path}\n`), http.body]),
    );
    const claimDeadline = context.deadline.earlierBy(this.parts.answerMarginMs);
    const claim = await this.parts.claims.claim(key, bodySha256, claimDeadline);
    if (claim.kind === 'refused') return Left(claim.error);
    if (claim.kind === 'ran') return replay(claim.outcome);
    return this.dispatchClaimed(context, http, sink, key, claim.claimId);
  }

  /** Dispatches a won claim at most once. Releases the claim on an error while nothing was sent. */
  private async dispatchClaimed(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
    key: string,
    claimId: string,
  ): Promise<Either<ServeError, FullResponse>> {
    const attempts = new AttemptLog(this.parts.clock);
    const releaseClaim = async (error: ServeError) => {
      await this.parts.claims.release(key, claimId, context.deadline);
      return Left(error);
    };
    for (;;) {
      const slot = await this.acquireSlot(context, attempts);
      if (slot.isLeft()) return releaseClaim(slot.extract());
      const response = await this.exchange(context, http, sink, slot.unsafeCoerce(), attempts);
      if (response.isRight()) {
        const fullResponse = response.unsafeCoerce();
        this.parts.claims.complete(key, claimId, ServiceCall.toOutcome(fullResponse));
        return Right(fullResponse);
      }
      if (attempts.ran !== ExecutionStatus.NotExecuted) {
        const message = 'the call was sent, but no complete response came back';
        return Left(ServeError.maybeExecuted(ErrorKind.OutcomeUnknown, message));
      }
      if (attempts.failureCount >= MAX_ATTEMPTS) return releaseClaim(attempts.finalError());
    }
  }

  private static toOutcome(response: FullResponse): ClaimOutcome {
    const { status, contentType, body } = response;
    const isRecorded = body.length <= MAX_RECORDED_BODY_BYTES;
    return { status, contentType, bodyBase64: isRecorded ? body.toString('base64') : null };
  }

  private acquireSlot(
    context: CallContext,
    attempts: AttemptLog,
  ): Promise<Either<ServeError, Slot>> {
    return this.parts.slotAcquirer.acquire(context, {
      attempt: attempts.failureCount + 1,
      cost: 1,
      isExcluded: (target) => attempts.isExcluded(target),
      findPreferred: () => undefined,
      reason: attempts.failureCount === 0 ? 'first' : 'retry',
    });
  }

  /** Runs one exchange with one target. Releases the slot in every case. */
  private exchange(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
    slot: Slot,
    attempts: AttemptLog,
  ): Promise<Either<ExchangeFailure, FullResponse>> {
    return Attempt.run(sink.disconnectSignal, context.deadline.remainingMs(), (attempt) =>
      this.exchangeInAttempt(context, http, slot, attempts, attempt),
    );
  }

  private async exchangeInAttempt(
    context: CallContext,
    http: HttpCall,
    slot: Slot,
    attempts: AttemptLog,
    attempt: Attempt,
  ): Promise<Either<ExchangeFailure, FullResponse>> {
    const fingerprint = requestFingerprint(context, http.body);
    const headers = {
      ...http.headers,
      'x-wisteriapath-workspace': context.call.caller.workspace ?? '',
    };
    const call = { ...http, headers, attemptId: attempt.id, signal: attempt.signal };
    const sent = await this.parts.targets.send(slot.target, slot.url, fingerprint, call);
    const failed = (failure: ExchangeFailure): Either<ExchangeFailure, FullResponse> => {
      attempts.recordFailure(slot.target, failure);
      const isAborted = failure === ExchangeFailure.Aborted;
      slot.release(isAborted ? TargetOutcome.Cancelled : TargetOutcome.Failed);
      return Left(failure);
    };
    if (sent.isLeft()) return failed(sent.extract());
    const exchange = sent.unsafeCoerce();
    try {
      const { response } = exchange;
      const { statusCode: status, headers: received } = response.data;
      const body = await readBounded(response.data.body, MAX_BODY_BYTES);
      if (response.wasBrokenOff()) throw new Error('the connection that ends the body was reset');
      exchange.markFinished();
      slot.release(TargetOutcome.Succeeded);
      const contentType = String(received['content-type'] ?? 'application/octet-stream');
      return Right({ status, contentType, body });
    } catch (error) {
      return failed(exchange.markBroken(error));
    }
  }
}

export default ServiceCall;
