import { parse } from 'logfmt';
import type LogLine from './LogLine';

const START = 'time=';

/**
 * Reads one line; `undefined` if it is not a whole line of an instance's log. What a collector has put
 * before the time is passed over.
 *
 * @example
 * parseLogLine('time=2026-12-04T12:00:00.000Z instance=a1 event=started');
 */
const parseLogLine = (text: string): LogLine | undefined => {
  const from = text.indexOf(START);
  if (from < 0) return undefined;
  const all = parse(text.slice(from)) as Record<string, string | boolean | null>;
  const { time, instance, event, ...rest } = all;
  const timeMs = Date.parse(String(time));
  if (Number.isNaN(timeMs) || typeof instance !== 'string' || typeof event !== 'string') {
    return undefined;
  }
  const fields = Object.fromEntries(
    Object.entries(rest).map(([key, value]) => [key, String(value ?? '')]),
  );
  return { timeMs, instance, event, fields };
};

export default parseLogLine;
