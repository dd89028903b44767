/** Finds the line that tells an error in the output of a Node.js program. */
import lastLine from './lastLine.mjs';

const ERROR = /^\s*(?:\w*Error\b.*|.*\b(?:FATAL ERROR|bad option)\b.*)$/m;

/**
 * Returns the first line that names an error, or else the last line.
 *
 * @example
 * errorLine('    at f (a.js:1)\nTypeError: no\n    at g (a.js:2)'); // 'TypeError: no'
 */
const errorLine = (text) => ERROR.exec(text)?.[0].trim() ?? lastLine(text);

export default errorLine;
