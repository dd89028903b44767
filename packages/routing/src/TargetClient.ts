import { Agent, type Dispatcher, request } from 'undici';
import { type Either, Left, Right } from 'purify-ts';
import { isUnsent } from '@wisteriapath/model';
import ExchangeFailure from './ExchangeFailure';

interface Options {
  /** Time without a byte after which a connection is taken for silent and closed. */
  readonly silenceLimitMs: number;
}

interface Call {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer | string;
  /** Id of this attempt; an answer that names another one is dropped. */
  readonly attemptId: string;
  readonly signal: AbortSignal;
}

const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS_PER_TARGET = 64;
const ATTEMPT_HEADER = 'x-request-id';

/** The caller went, or the deadline passed. */
const GIVEN_UP_NAMES = new Set(['AbortError', 'TimeoutError']);
const SILENCE_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

const failureOf = (error: unknown): ExchangeFailure => {
  const { code = '', name } = error as NodeJS.ErrnoException;
  if (GIVEN_UP_NAMES.has(name)) return ExchangeFailure.GivenUp;
  if (isUnsent(code)) return ExchangeFailure.NotSent;
  return SILENCE_CODES.has(code) ? ExchangeFailure.Silent : ExchangeFailure.Broken;
};

/**
 * Exchanges HTTP messages with targets. A connection whose exchange was not finished is closed,
 * never used again, so an answer that comes late meets no other request.
 */
class TargetClient {
  private readonly agent: Agent;

  constructor(options: Options) {
    this.agent = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      connections: CONNECTIONS_PER_TARGET,
      pipelining: 1,
      headersTimeout: options.silenceLimitMs,
      bodyTimeout: options.silenceLimitMs,
    });
  }

  /** Sends a request; the answer's body is still to be read. Never rejects. */
  async send(url: string, call: Call): Promise<Either<ExchangeFailure, Dispatcher.ResponseData>> {
    try {
      const answer = await request(`${url}${call.path}`, {
        dispatcher: this.agent,
        method: call.method,
        headers: { ...call.headers, [ATTEMPT_HEADER]: call.attemptId },
        body: call.body.length === 0 ? null : call.body,
        signal: call.signal,
      });
      const echoed = answer.headers[ATTEMPT_HEADER];
      if (echoed === undefined || echoed === call.attemptId) return Right(answer);
      // The destroyed body reports its end as an error, which nobody else listens for.
      answer.body.on('error', () => {}).destroy();
      return Left(ExchangeFailure.Crossed);
    } catch (error) {
      return Left(failureOf(error));
    }
  }

  /** The failure that broke off reading a body. */
  static failureOf(error: unknown): ExchangeFailure {
    return failureOf(error);
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

export default TargetClient;
