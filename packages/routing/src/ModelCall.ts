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
const DONE = '[DONE]';
/** A first byte later than this counts as a slow answer of the target. */
const SLOW_FIRST_BYTE_MS = 1_900;

/** Carries one completion to an engine, and on to another one where the answer breaks off. */
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

  /** Tokens of prompt and answer, as the engine counted them where it did. */
  get usedTokens(): number {
    return this.writer.countedTokens ?? this.request.promptTokens + this.writer.tokens;
  }

  /** Answers into the sink. On an error after the answer began, the sink is aborted. */
  async run(): Promise<Either<ServeError, void>> {
    this.parts.retries.noteRequest();
    for (;;) {
      const ended = await this.attempt();
      if (ended !== undefined) {
        if (ended.isLeft() && this.sink.headersSent) this.sink.abort();
        return ended;
      }
    }
  }

  /** One attempt; undefined if another one may follow. */
  private async attempt(): Promise<Either<ServeError, void> | undefined> {
    const admitted = await this.parts.targets.admit(this.fingerprint);
    if (admitted.isLeft()) return admitted.map(() => undefined);
    try {
      const slot = await this.slot();
      if (slot.isLeft()) {
        return slot.map(() => undefined).mapLeft((error) => this.attempts.qualify(error));
      }
      const failure = await this.exchange(slot.unsafeCoerce());
      if (failure === undefined) return Right(undefined);
      this.attempts.note(slot.unsafeCoerce().target, failure);
      await this.parts.targets.newsSpread();
    } finally {
      admitted.ifRight((done) => done());
    }
    return this.mayRetry() ? undefined : Left(this.attempts.exhausted());
  }

  private mayRetry(): boolean {
    const over = this.context.deadline.expired() || this.sink.disconnectSignal.aborted;
    if (over || this.attempts.count >= MAX_ATTEMPTS) return false;
    return this.attempts.wasRefused || this.parts.retries.take();
  }

  private slot(): Promise<Either<ServeError, Slot>> {
    const { promptTokens, maxTokens, prefixSha256 } = this.request;
    return this.parts.slotAcquirer.slotFor(this.context, {
      attempt: this.attempts.count + 1,
      cost: promptTokens + maxTokens,
      isExcluded: (target) => this.attempts.isExcluded(target),
      preferred: (targets) => rendezvousOrder(prefixSha256, targets)[0],
      reason: this.attempts.count === 0 ? 'first' : 'resume',
    });
  }

  /** One exchange with one engine; undefined if the answer came whole. */
  private exchange(slot: Slot): Promise<ExchangeFailure | undefined> {
    const remainingMs = this.context.deadline.remainingMs();
    return Attempt.during(this.sink.disconnectSignal, remainingMs, (attempt) =>
      this.exchangeWithin(slot, attempt),
    );
  }

  private async exchangeWithin(slot: Slot, attempt: Attempt): Promise<ExchangeFailure | undefined> {
    const startedMs = this.parts.clock.nowMs();
    const sent = await this.send(slot, attempt);
    if (sent.isLeft()) {
      slot.release(TargetOutcome.Failed);
      return sent.extract();
    }
    const exchange = sent.unsafeCoerce();
    if (exchange.answer.statusCode !== OK) {
      await exchange.answer.body.dump();
      exchange.refused();
      slot.release(TargetOutcome.Failed);
      return ExchangeFailure.Refused;
    }
    const slow = this.parts.clock.nowMs() - startedMs > SLOW_FIRST_BYTE_MS;
    try {
      await this.relay(exchange.answer.body);
      exchange.finished();
      slot.release(slow ? TargetOutcome.Slow : TargetOutcome.Succeeded);
      return undefined;
    } catch (error) {
      const failure = exchange.broken(error);
      const givenUp = failure === ExchangeFailure.GivenUp;
      slot.release(givenUp ? TargetOutcome.Cancelled : TargetOutcome.Failed);
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
        'x-resume-from': String(this.writer.tokens),
      },
      attemptId: attempt.id,
      signal: attempt.signal,
    });
  }

  /**
   * Passes on events; throws if the stream ends before the last one. What follows that one is read
   * too, so that the connection can be used again.
   */
  private async relay(body: Dispatcher.ResponseData['body']): Promise<void> {
    let done = false;
    try {
      for await (const data of readEvents(body)) {
        if (data === DONE) {
          await this.writer.finish();
          done = true;
        } else if (!done) {
          await this.writer.event(data);
        }
      }
    } catch (error) {
      if (!done) throw error;
    }
    if (!done) throw new Error('the stream ended early');
  }
}

export default ModelCall;
