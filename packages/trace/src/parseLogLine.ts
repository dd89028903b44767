import { parse } from 'logfmt';
import type LogLine from './LogLine';

const TIME_PREFIX = 'time=';

/**
 * Parses one line; returns `undefined` if it is not a complete line of an instance's log. Skips what a log
 * collector has put before the time.
 *
 * @example
 * parseLogLine('time=2026-12-04T12:00:00.000Z instance=a1 event=started');
 */
const parseLogLine = (text: string): LogLine | undefined => {
  const from = text.indexOf(TIME_PREFIX);
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
