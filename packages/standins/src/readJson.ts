import type { Context } from 'koa';
import readText from './readText';

/**
 * Reads a request body as JSON; an empty body reads as an empty object.
 *
 * @example
 * const { payloads } = await readJson<{ payloads: string[] }>(context);
 */
const readJson = async <T>(context: Context): Promise<T> => {
  const text = await readText(context);
  return JSON.parse(text === '' ? '{}' : text) as T;
};

export default readJson;
