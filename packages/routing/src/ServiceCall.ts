import { type Either, Left, Right } from 'purify-ts';
import {
  type Clock,
  ErrorKind,
  Ran,
  type RetryBudget,
  ServeError,
  sha256Hex,
} from '@wisteriapath/model';
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
import requestFingerprint from './requestFingerprint';

interface Parts {
  readonly clock: Clock;
  readonly slotAcquirer: SlotAcquirer;
  readonly targets: GuardedTargetClient;
  readonly claims: ClaimRegistry;
  readonly retries: RetryBudget;
  /** Time before the deadline that is kept for giving a claim back. */
  readonly answerMarginMs: number;
}

interface WholeAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

const MAX_ATTEMPTS = 3;
const MAX_KEPT_BYTES = 32_768;
const KEY_HEADER = 'idempotency-key';

const replay = (outcome: ClaimOutcome): Either<ServeError, WholeAnswer> => {
  if (outcome.bodyBase64 === null) {
    const message = `the call ran with status ${outcome.status}; its answer was not kept`;
    return Left(new ServeError(ErrorKind.OutcomeUnknown, message, Ran.Yes));
  }
  const body = Buffer.from(outcome.bodyBase64, 'base64');
  return Right({ status: outcome.status, contentType: outcome.contentType, body });
};

/** Carries a call to a plain service. */
class ServiceCall {
  constructor(private readonly parts: Parts) {}

  /** Answers into the sink; an error is returned while nothing has been answered. */
  async run(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
  ): Promise<Either<ServeError, void>> {
    const answered = context.call.route.idempotent
      ? await this.runRepeatable(context, http, sink)
      : await this.runOnce(context, http, sink);
    answered.ifRight((answer) => {
      sink.begin(answer.status, { 'content-type': answer.contentType });
      void sink.write(answer.body);
      sink.end();
    });
    return answered.map(() => undefined);
  }

  private async runRepeatable(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
  ): Promise<Either<ServeError, WholeAnswer>> {
    const attempts = new AttemptLog(this.parts.clock);
    const admitted = await this.parts.targets.admit(requestFingerprint(context, http.body));
    if (admitted.isLeft()) return admitted;
    this.parts.retries.noteRequest();
    const done = admitted.unsafeCoerce();
    try {
      for (;;) {
        const slot = await this.slotFor(context, attempts);
        if (slot.isLeft()) return Left(attempts.qualify(slot.extract()));
        const answer = await this.exchange(context, http, sink, slot.unsafeCoerce(), attempts);
        if (answer.isRight()) return answer.mapLeft(() => attempts.exhausted());
        await this.parts.targets.newsSpread();
        const spent = attempts.count >= MAX_ATTEMPTS || context.deadline.expired();
        const givenUp = answer.extract() === ExchangeFailure.GivenUp;
        if (spent || givenUp || !this.parts.retries.take()) return Left(attempts.exhausted());
      }
    } finally {
      done();
    }
  }

  private async runOnce(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
  ): Promise<Either<ServeError, WholeAnswer>> {
    const secret = http.headers[KEY_HEADER] ?? '';
    if (secret === '') {
      const message = 'this route needs an Idempotency-Key header';
      return Left(ServeError.notRun(ErrorKind.BadRequest, message));
    }
    const { caller, routeName } = context.call;
    const key = sha256Hex(`${caller.workspace}\n${routeName}\n${secret}`);
    const bodySha256 = sha256Hex(
      Buffer.concat([Buffer.from(`${http.method} ${http.path}\n`), http.body]),
    );
    const claimBy = context.deadline.less(this.parts.answerMarginMs);
    const claim = await this.parts.claims.claim(key, bodySha256, claimBy);
    if (claim.kind === 'refused') return Left(claim.error);
    if (claim.kind === 'ran') return replay(claim.outcome);
    return this.dispatchClaimed(context, http, sink, key, claim.claimId);
  }

  /** Dispatches a won claim at most once; while nothing was sent, the claim is given back. */
  private async dispatchClaimed(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
    key: string,
    claimId: string,
  ): Promise<Either<ServeError, WholeAnswer>> {
    const attempts = new AttemptLog(this.parts.clock);
    const giveBack = async (error: ServeError) => {
      await this.parts.claims.release(key, claimId, context.deadline);
      return Left(error);
    };
    for (;;) {
      const slot = await this.slotFor(context, attempts);
      if (slot.isLeft()) return giveBack(slot.extract());
      const answer = await this.exchange(context, http, sink, slot.unsafeCoerce(), attempts);
      if (answer.isRight()) {
        const whole = answer.unsafeCoerce();
        this.parts.claims.complete(key, claimId, ServiceCall.toOutcome(whole));
        return Right(whole);
      }
      if (attempts.ran !== Ran.No) {
        const message = 'the call was sent, and its answer did not come';
        return Left(ServeError.maybeRun(ErrorKind.OutcomeUnknown, message));
      }
      if (attempts.count >= MAX_ATTEMPTS) return giveBack(attempts.exhausted());
    }
  }

  private static toOutcome(answer: WholeAnswer): ClaimOutcome {
    const { status, contentType, body } = answer;
    const kept = body.length <= MAX_KEPT_BYTES;
    return { status, contentType, bodyBase64: kept ? body.toString('base64') : null };
  }

  private slotFor(context: CallContext, attempts: AttemptLog): Promise<Either<ServeError, Slot>> {
    return this.parts.slotAcquirer.slotFor(context, {
      attempt: attempts.count + 1,
      cost: 1,
      isExcluded: (target) => attempts.isExcluded(target),
      preferred: () => undefined,
      reason: attempts.count === 0 ? 'first' : 'retry',
    });
  }

  /** One exchange with one target; the slot is released in every case. */
  private exchange(
    context: CallContext,
    http: HttpCall,
    sink: ResponseSink,
    slot: Slot,
    attempts: AttemptLog,
  ): Promise<Either<ExchangeFailure, WholeAnswer>> {
    return Attempt.during(sink.disconnectSignal, context.deadline.remainingMs(), (attempt) =>
      this.exchangeWithin(context, http, slot, attempts, attempt),
    );
  }

  private async exchangeWithin(
    context: CallContext,
    http: HttpCall,
    slot: Slot,
    attempts: AttemptLog,
    attempt: Attempt,
  ): Promise<Either<ExchangeFailure, WholeAnswer>> {
    const fingerprint = requestFingerprint(context, http.body);
    const headers = {
      ...http.headers,
      'x-wisteriapath-workspace': context.call.caller.workspace ?? '',
    };
    const call = { ...http, headers, attemptId: attempt.id, signal: attempt.signal };
    const sent = await this.parts.targets.send(slot.target, slot.url, fingerprint, call);
    const failed = (failure: ExchangeFailure): Either<ExchangeFailure, WholeAnswer> => {
      attempts.note(slot.target, failure);
      const givenUp = failure === ExchangeFailure.GivenUp;
      slot.release(givenUp ? TargetOutcome.Cancelled : TargetOutcome.Failed);
      return Left(failure);
    };
    if (sent.isLeft()) return failed(sent.extract());
    const exchange = sent.unsafeCoerce();
    try {
      const body = Buffer.from(await exchange.answer.body.arrayBuffer());
      exchange.finished();
      slot.release(TargetOutcome.Succeeded);
      const contentType = String(
        exchange.answer.headers['content-type'] ?? 'application/octet-stream',
      );
      return Right({ status: exchange.answer.statusCode, contentType, body });
    } catch (error) {
      return failed(exchange.broken(error));
    }
  }
}

export default ServiceCall;
