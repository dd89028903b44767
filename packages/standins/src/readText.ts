import type { Context } from 'koa';
import rawBody from 'raw-body';

const MAX_BODY_SIZE = '8mb';

/**
 * Reads a request body, or returns the text in `state.rawBody` if a fault handler has read it
 * before.
 *
 * @example
 * const text = await readText(context);
 */
const readText = async (context: Pick<Context, 'req' | 'state'>): Promise<string> => {
  const knownText = context.state.rawBody as string | undefined;
  return knownText ?? rawBody(context.req, { limit: MAX_BODY_SIZE, encoding: 'utf8' });
};

export default readText;
