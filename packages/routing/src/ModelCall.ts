import type { Dispatcher } from 'undici';
import { type Either, Left, Right } from 'purify-ts';
import {
  type Clock,
  rendezvousOrder,
  type RetryBudget,
  type ServeError,
} from '@wisteriapath/model';
import { assetsOf, type Slot, TargetOutcome } from '@wisteriapath/placement';
import type ResponseSink from './ResponseSink';
import Attempt from './Attempt';
import AttemptLog from './AttemptLog';
import type CallContext from './CallContext';
import type CompletionRequest from './CompletionRequest';
import CompletionWriter from './CompletionWriter';
import ExchangeFailure from './ExchangeFailure';
import type GuardedTargetClient from './GuardedTargetClient';
import type SlotAcquirer from './SlotAcquirer';
import readEvents from './readEvents';
import requestFingerprint from './requestFingerprint';

interface Parts {
  readonly clock: Clock;
  readonly slotAcquirer: SlotAcquirer;
  readonly targets: GuardedTargetClient;
  readonly retries: RetryBudget;
}

const MAX_ATTEMPTS = 4;
const OK = 200;
/** The only status by which an engine says that it has not run a request: the model is not loaded. */
const NOT_LOADED = 409;
const DONE_EVENT_DATA = '[DONE]';
/** Time to the first byte above which the target counts as slow. */
const SLOW_FIRST_BYTE_MS = 1_900;

/** One completion request. If its stream breaks off, it is resumed on another engine. */
class ModelCall {
  private readonly attempts: AttemptLog;

  private readonly writer: CompletionWriter;

  private readonly body: Buffer;

  private readonly fingerprint: string;

  constructor(
    private readonly parts: Parts,
    private readonly context: CallContext,
    private readonly request: CompletionRequest,
    private readonly sink: ResponseSink,
  ) {
    const { call, requestId } = context;
    this.attempts = new AttemptLog(parts.clock);
    const model = assetsOf(call.route).at(-1)!.id;
    this.body = Buffer.from(JSON.stringify({ ...request.body, model, stream: true }));
    this.fingerprint = requestFingerprint(context, this.body);
    this.writer = new CompletionWriter(sink, call.routeName, requestId, request.stream);
  }

  /** Tokens of prompt and completion: the engine's count if it is known, otherwise an estimate. */
  get usedTokens(): number {
    return this.writer.countedTokens ?? this.request.promptTokens + this.writer.tokenCount;
  }

  /** Writes the response to the sink. Aborts the sink on an error after the response has begun. */
  async run(): Promise<Either<ServeError, void>> {
    this.parts.retries.recordRequest();
    for (;;) {
      const result = await this.runAttempt();
      if (result !== undefined) {
        if (result.isLeft() && this.sink.headersSent) this.sink.abort();
        return result;
      }
    }
  }

  /** Runs one attempt. Resolves to undefined if another one may follow. */
  private async runAttempt(): Promise<Either<ServeError, void> | undefined> {
    const admitted = await this.parts.targets.admit(this.fingerprint);
    if (admitted.isLeft()) return admitted.map(() => undefined);
    try {
      const slot = await this.acquireSlot();
      if (slot.isLeft()) {
        return slot
          .map(() => undefined)
          .mapLeft((error) => this.attempts.withExecutionState(error));
      }
      const failure = await this.exchange(slot.unsafeCoerce());
      if (failure === undefined) return Right(undefined);
      this.attempts.recordFailure(slot.unsafeCoerce().target, failure);
      await this.parts.targets.waitForCrashReports();
    } finally {
      admitted.ifRight((finish) => finish());
    }
    return this.canRetry() ? undefined : Left(this.attempts.finalError());
  }

  private canRetry(): boolean {
    const isOver = this.context.deadline.isExpired() || this.sink.disconnectSignal.aborted;
    if (isOver || this.attempts.failureCount >= MAX_ATTEMPTS) return false;
    return this.attempts.wasRefused || this.parts.retries.take();
  }

  private acquireSlot(): Promise<Either<ServeError, Slot>> {
    const { promptTokens, maxTokens, prefixSha256 } = this.request;
    return this.parts.slotAcquirer.acquire(this.context, {
      attempt: this.attempts.failureCount + 1,
      cost: promptTokens + maxTokens,
      isExcluded: (target) => this.attempts.isExcluded(target),
      findPreferred: (targets) => rendezvousOrder(prefixSha256, targets)[0],
      reason: this.attempts.failureCount === 0 ? 'first' : 'resume',
    });
  }

  /** Runs one exchange with one engine. Resolves to undefined if the response was complete. */
  private exchange(slot: Slot): Promise<ExchangeFailure | undefined> {
    const remainingMs = this.context.deadline.remainingMs();
    return Attempt.run(this.sink.disconnectSignal, remainingMs, (attempt) =>
      this.exchangeInAttempt(slot, attempt),
    );
  }

  private async exchangeInAttempt(
    slot: Slot,
    attempt: Attempt,
  ): Promise<ExchangeFailure | undefined> {
    const startedMs = this.parts.clock.nowMs();
    const sent = await this.send(slot, attempt);
    if (sent.isLeft()) {
      slot.release(TargetOutcome.Failed);
      return sent.extract();
    }
    const exchange = sent.unsafeCoerce();
    const { statusCode, body } = exchange.response.data;
    if (statusCode !== OK) {
      await body.dump();
      exchange.markUnserved();
      slot.release(TargetOutcome.Failed);
      return statusCode === NOT_LOADED ? ExchangeFailure.Refused : ExchangeFailure.Failed;
    }
    const isSlow = this.parts.clock.nowMs() - startedMs > SLOW_FIRST_BYTE_MS;
    try {
      await this.relay(body, () => exchange.markBegun());
      exchange.markFinished();
      slot.release(isSlow ? TargetOutcome.Slow : TargetOutcome.Succeeded);
      return undefined;
    } catch (error) {
      const failure = exchange.markBroken(error);
      const isAborted = failure === ExchangeFailure.Aborted;
      slot.release(isAborted ? TargetOutcome.Cancelled : TargetOutcome.Failed);
      return failure;
    }
  }

  private send(slot: Slot, attempt: Attempt): ReturnType<GuardedTargetClient['send']> {
    const { call } = this.context;
    return this.parts.targets.send(slot.target, slot.url, this.fingerprint, {
      method: 'POST',
      path: this.request.path,
      body: this.body,
      headers: {
        'content-type': 'application/json',
        'x-wisteriapath-workspace': call.caller.workspace ?? '',
        'x-wisteriapath-class': call.route.requestClass,
        'x-resume-from': String(this.writer.tokenCount),
      },
      attemptId: attempt.id,
      signal: attempt.signal,
    });
  }

  /**
   * Writes the engine's events to the caller. Throws if the stream ends before the last event.
   * Reads the rest of the body after that event too, so that the connection can be reused.
   */
  private async relay(body: Dispatcher.ResponseData['body'], onBegun: () => void): Promise<void> {
    let isDone = false;
    try {
      for await (const data of readEvents(body)) {
        onBegun();
        if (data === DONE_EVENT_DATA) {
          await this.writer.finish();
          isDone = true;
        } else if (!isDone) {
          await this.writer.writeEvent(data);
        }
      }
    } catch (error) {
      if (!isDone) throw error;
    }
    if (!isDone) throw new Error('the event stream ended before its last event');
  }
}

export default ModelCall;
