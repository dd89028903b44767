import type { Context } from 'koa';
import rawBody from 'raw-body';

const MAX_BODY = '8mb';

/**
 * Reads a request body, once; a later call gets the same text.
 *
 * @example
 * const text = await readText(context);
 */
const readText = async (context: Pick<Context, 'req' | 'state'>): Promise<string> => {
  const read = context.state.rawBody as string | undefined;
  return read ?? rawBody(context.req, { limit: MAX_BODY, encoding: 'utf8' });
};

export default readText;
