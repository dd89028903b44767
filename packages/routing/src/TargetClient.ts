import { type Agent, request } from 'undici';
import { type Either, Left, Right } from 'purify-ts';
import {
  ConnectionUse,
  createTrackedAgent,
  framingOf,
  ImpossibleStatusError,
  ResponseFraming,
} from '@wisteriapath/response-ends';
import ExchangeFailure from './ExchangeFailure';
import type TargetResponse from './TargetResponse';

interface Options {
  /** Time without a byte after which a connection is closed as silent. */
  readonly silenceLimitMs: number;
}

interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string;
  /** Id of this attempt; a response that names another one, or may belong to another one, is dropped. */
  readonly attemptId: string;
  readonly signal: AbortSignal;
}

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS_PER_TARGET = 64;
const ATTEMPT_ID_HEADER = 'x-request-id';
/** Bytes of a response that may wait to be read. The HTTP client must not pause a response that ends with its connection. */
const MAX_UNREAD_BYTES = 8 * 1_024 * 1_024;

/** Names of the errors raised when the caller disconnects or the deadline passes. */
const ABORT_ERROR_NAMES = new Set(['AbortError', 'TimeoutError']);
const SILENCE_ERROR_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Classifies an error of an exchange whose request may have been sent. */
const failureOf = (error: unknown): ExchangeFailure => {
  const { code = '', name } = error as NodeJS.ErrnoException;
  if (error instanceof ImpossibleStatusError) return ExchangeFailure.Failed;
  if (ABORT_ERROR_NAMES.has(name)) return ExchangeFailure.Aborted;
  return SILENCE_ERROR_CODES.has(code) ? ExchangeFailure.Silent : ExchangeFailure.Broken;
};

/** Whether an answer belongs to an attempt. One without an id may belong to any that the connection has carried. */
const isOwn = (
  echoedId: string | string[] | undefined,
  attemptId: string,
  { isFirst, isAmbiguous }: ConnectionUse,
): boolean => (echoedId === undefined ? isFirst : echoedId === attemptId && !isAmbiguous);

/**
 * An HTTP client for targets. A connection whose exchange did not finish is closed and never
 * reused, so a late response cannot reach another request.
 */
class TargetClient {
  private readonly agent: Agent;

  constructor(options: Options) {
    this.agent = createTrackedAgent({
      connections: MAX_CONNECTIONS_PER_TARGET,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      headersTimeout: options.silenceLimitMs,
      bodyTimeout: options.silenceLimitMs,
    });
  }

  /**
   * Sends a request. Resolves when the response headers have arrived; the body is unread. Never
   * rejects.
   */
  async send(url: string, call: Call): Promise<Either<ExchangeFailure, TargetResponse>> {
    const connectionUse = new ConnectionUse();
    try {
      const options = {
        connectionUse,
        exchangeId: call.attemptId,
        highWaterMark: MAX_UNREAD_BYTES,
        dispatcher: this.agent,
        method: call.method,
        headers: { ...call.headers, [ATTEMPT_ID_HEADER]: call.attemptId },
        body: call.body.length === 0 ? null : call.body,
        signal: call.signal,
      };
      const data = await request(`${url}${call.path}`, options);
      if (isOwn(data.headers[ATTEMPT_ID_HEADER], call.attemptId, connectionUse)) {
        const framing = framingOf(call.method, data.statusCode, data.headers);
        const wasBrokenOff = () =>
          framing === ResponseFraming.Close && !connectionUse.hasEndedInOrder;
        return Right({ data, wasBrokenOff });
      }
      // Destroying the body emits an error, which has no other listener and would be thrown.
      data.body.on('error', () => {}).destroy();
      return Left(ExchangeFailure.AttemptMismatch);
    } catch (error) {
      const failure = failureOf(error);
      const isUnsent = !connectionUse.mayHaveSent && failure !== ExchangeFailure.Aborted;
      return Left(isUnsent ? ExchangeFailure.NotSent : failure);
    }
  }

  /** Classifies an error raised while a body is read. */
  static failureOf(error: unknown): ExchangeFailure {
    return failureOf(error);
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

export default TargetClient;
