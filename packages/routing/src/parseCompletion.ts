import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError, sha256Hex } from '@wisteriapath/model';
import type CompletionRequest from './CompletionRequest';
import estimateTokens from './estimateTokens';

/** Length of the prompt prefix whose hash decides prefix affinity. */
const PREFIX_CHARS = 512;
const MAX_TOKENS_LIMIT = 1_000_000;

interface ParsedCompletion {
  readonly routeName: string;
  readonly request: CompletionRequest;
}

const invalid = (message: string): Either<ServeError, never> =>
  Left(ServeError.notExecuted(ErrorKind.BadRequest, message));

const isMessage = (value: unknown): value is { content: string } =>
  typeof (value as { content?: unknown } | null)?.content === 'string';

const promptOf = (body: Readonly<Record<string, unknown>>): string | undefined => {
  if (typeof body.prompt === 'string') return body.prompt;
  if (!Array.isArray(body.messages) || !body.messages.every(isMessage)) return undefined;
  return body.messages.map((message) => message.content).join('\n');
};

const maxTokensOf = (body: Readonly<Record<string, unknown>>, fallback: number): unknown =>
  body.max_tokens ?? body.max_completion_tokens ?? fallback;

const parseJson = (text: string): Either<ServeError, Readonly<Record<string, unknown>>> => {
  try {
    const value: unknown = JSON.parse(text);
    const isObject = typeof value === 'object' && value !== null && !Array.isArray(value);
    return isObject
      ? Right(value as Record<string, unknown>)
      : invalid('the body must be an object');
  } catch {
    return invalid('the body is not valid JSON');
  }
};

/**
 * Parses and validates the body of a completion request, whose `model` names the route.
 *
 * @example
 * parseCompletion('/v1/completions', text, 512).map(({ routeName }) => routeName);
 */
const parseCompletion = (
  path: string,
  text: string,
  defaultMaxTokens: number,
): Either<ServeError, ParsedCompletion> =>
  parseJson(text).chain((body) => {
    const prompt = promptOf(body);
    const maxTokens = maxTokensOf(body, defaultMaxTokens);
    if (typeof body.model !== 'string' || body.model === '') return invalid('model: is required');
    if (prompt === undefined) return invalid('prompt or messages: is required, with text content');
    if (body.stream !== undefined && typeof body.stream !== 'boolean') {
      return invalid('stream: must be true or false');
    }
    const isInRange =
      Number.isInteger(maxTokens) &&
      (maxTokens as number) > 0 &&
      (maxTokens as number) <= MAX_TOKENS_LIMIT;
    if (!isInRange) return invalid('max_tokens: must be a positive whole number');
    const request: CompletionRequest = {
      path,
      body,
      stream: body.stream === true,
      maxTokens: maxTokens as number,
      promptTokens: estimateTokens(prompt),
      prefixSha256: sha256Hex(prompt.slice(0, PREFIX_CHARS)),
    };
    return Right({ routeName: body.model, request });
  });

export default parseCompletion;
