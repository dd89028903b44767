import type CompletionChunk from './CompletionChunk';
import UnreadableResponse from './UnreadableResponse';

/**
 * Parses the data of one event of an engine. Throws `UnreadableResponse` if it is not a JSON object.
 *
 * @example
 * parseChunk('{"choices":[{"text":"a"}]}');
 */
const parseChunk = (data: string): CompletionChunk => {
  let parsed: unknown;
  try {
    parsed = JSON.parse(data);
  } catch (error) {
    throw new UnreadableResponse(`an event of the engine is no JSON: ${(error as Error).message}`);
  }
  if (typeof parsed !== 'object' || parsed === null) {
    throw new UnreadableResponse('an event of the engine is no JSON object');
  }
  return parsed;
};

export default parseChunk;
