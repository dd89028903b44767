const CHARS_PER_TOKEN = 4;

/**
 * Estimates the number of tokens in a text, for use until an engine has counted them.
 *
 * @example
 * estimateTokens('a dented cup'); // 3
 */
const estimateTokens = (text: string): number => Math.ceil(text.length / CHARS_PER_TOKEN);

export default estimateTokens;
