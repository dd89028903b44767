import { stringify } from 'logfmt';
import type ViewEntry from './ViewEntry';
import type LogLine from './LogLine';
import type RequestTrace from './RequestTrace';

const MS_PER_S = 1_000;
const INDENT = '    ';

const formatLine = ({ timeMs, instance, event, fields }: LogLine): string =>
  `${new Date(timeMs).toISOString()} ${instance} ${event} ${stringify(fields)}`.trimEnd();

const formatViewEntry = (atMs: number, topic: string, { text, sinceMs }: ViewEntry): string =>
  `${INDENT}${topic}: ${text}, for ${((atMs - sinceMs) / MS_PER_S).toFixed(1)} s`;

/**
 * Formats a trace as text: the request's lines, each with the view of its instance, then the orders for its
 * model.
 *
 * @example
 * process.stdout.write(formatTrace('4f1c', requestTrace));
 */
const formatTrace = (
  request: string,
  { entries, orders, linesRead, unreadableLines }: RequestTrace,
): string => {
  const entryLines = entries.flatMap(({ line, view }) => [
    formatLine(line),
    ...[...view].map(([topic, known]) => formatViewEntry(line.timeMs, topic, known)),
  ]);
  const lines = [
    entries.length === 0 ? `request ${request}: no line in these files` : `request ${request}`,
    ...entryLines,
    ...(orders.length === 0 ? [] : ['orders for its model', ...orders.map(formatLine)]),
    `${linesRead} lines read, ${unreadableLines} of them unreadable`,
  ];
  return `${lines.join('\n')}\n`;
};

export default formatTrace;
