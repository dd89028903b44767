import { request } from 'undici';

/** A response that has been read completely. */
export interface CallResponse {
  readonly status: number;
  readonly text: string;
  /** The `error` member of the body; `undefined` if there is none. */
  readonly error: Record<string, unknown> | undefined;
}

const parseError = (text: string): Record<string, unknown> | undefined => {
  try {
    return (JSON.parse(text) as { error?: Record<string, unknown> }).error;
  } catch {
    return undefined;
  }
};

const send = async (url: string, options: Parameters<typeof request>[1]): Promise<CallResponse> => {
  const response = await request(url, options);
  const text = await response.body.text();
  return { status: response.statusCode, text, error: parseError(text) };
};

/** Sends requests to the listener for callers of an instance. */
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
