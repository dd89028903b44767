import type RequestFields from './RequestFields';

type Fields = Pick<RequestFields, 'tokens' | 'outputTokens' | 'estimatedTokens'>;

/** Work of a request without tokens, in tokens to read; chosen, not measured. */
const BASE_UNITS = 256;
/** Work to write a token, in tokens to read; chosen, not measured. */
const UNITS_PER_WRITTEN_TOKEN = 40;

/**
 * Returns the work of a request up to its first event if it is streamed, otherwise up to its response, in units of one token to
 * read.
 *
 * @example
 * workUnits({ tokens: 300, outputTokens: 100, estimatedTokens: null }, true); // 456
 */
const workUnits = (
  { tokens, outputTokens, estimatedTokens }: Fields,
  isStreamed: boolean,
): number => {
  const read = Math.max(0, (tokens ?? 0) - (outputTokens ?? 0));
  const written = isStreamed ? 0 : Math.max(0, estimatedTokens ?? outputTokens ?? 0);
  return BASE_UNITS + read + written * UNITS_PER_WRITTEN_TOKEN;
};

export default workUnits;
