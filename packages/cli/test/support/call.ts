import { request } from 'undici';

export interface Answer {
  readonly status: number;
  readonly text: string;
  /** The error of the one error body, if it is one. */
  readonly error: Record<string, unknown> | undefined;
}

const parseError = (text: string): Record<string, unknown> | undefined => {
  try {
    return (JSON.parse(text) as { error?: Record<string, unknown> }).error;
  } catch {
    return undefined;
  }
};

const send = async (url: string, options: Parameters<typeof request>[1]): Promise<Answer> => {
  const answer = await request(url, options);
  const text = await answer.body.text();
  return { status: answer.statusCode, text, error: parseError(text) };
};

/** Calls of a test against an instance's listener for callers. */
const call = {
  raw: send,
  complete: (callersUrl: string, secret: string, body: object, headers: object = {}) =>
    send(`${callersUrl}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${secret}`, ...headers },
      body: JSON.stringify({ model: 'cup-guide', prompt: 'a dented rim', max_tokens: 4, ...body }),
    }),
  book: (
    callersUrl: string,
    secret: string,
    idempotencyKey: string,
    headers: object = {},
    body = '{"cup":7}',
  ) =>
    send(`${callersUrl}/services/bookings/book`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${secret}`,
        'idempotency-key': idempotencyKey,
        ...headers,
      },
      body,
    }),
};

export default call;
