/** Finds the reason of a failure in the output of npm. */
import lastLine from './lastLine.mjs';

const ERROR_LINE = /^npm (?:error|ERR!) ?(.*)$/;
/** The lines after these tell where npm keeps its log. */
const MOST_LINES = 4;

/**
 * Returns the first lines of npm's errors as one line; the last line if npm names none.
 *
 * @example
 * npmReason('npm error code ENOTFOUND\nnpm error network no address'); // 'code ENOTFOUND; network no address'
 */
const npmReason = (text) => {
  const reasons = text
    .split('\n')
    .map((line) => ERROR_LINE.exec(line)?.[1].trim() ?? '')
    .filter((line) => line !== '');
  return reasons.length === 0 ? lastLine(text) : reasons.slice(0, MOST_LINES).join('; ');
};

export default npmReason;
