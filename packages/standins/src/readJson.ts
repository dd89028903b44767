import type { Context } from 'koa';
import rawBody from 'raw-body';

const MAX_BODY = '8mb';

/**
 * Reads a JSON request body.
 *
 * @example
 * const { payloads } = await readJson<{ payloads: string[] }>(context);
 */
const readJson = async <T>(context: Context): Promise<T> => {
  const text = await rawBody(context.req, { limit: MAX_BODY, encoding: 'utf8' });
  return JSON.parse(text === '' ? '{}' : text) as T;
};

export default readJson;
