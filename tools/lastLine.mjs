/**
 * Returns the last line of a text that is not blank; empty if there is none.
 *
 * @example
 * lastLine('a\nb\n'); // 'b'
 */
const lastLine = (text) => text.trimEnd().split('\n').pop().trim();

export default lastLine;
