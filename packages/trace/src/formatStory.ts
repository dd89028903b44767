import { stringify } from 'logfmt';
import type Belief from './Belief';
import type LogLine from './LogLine';
import type Story from './Story';

const MS_PER_S = 1_000;
const INDENT = '    ';

const formatLine = ({ timeMs, instance, event, fields }: LogLine): string =>
  `${new Date(timeMs).toISOString()} ${instance} ${event} ${stringify(fields)}`.trimEnd();

const formatBelief = (atMs: number, topic: string, { text, sinceMs }: Belief): string =>
  `${INDENT}${topic}: ${text}, for ${((atMs - sinceMs) / MS_PER_S).toFixed(1)} s`;

/**
 * A story as text: the request's lines with the beliefs behind each, then the orders for its model.
 *
 * @example
 * process.stdout.write(formatStory('4f1c', story));
 */
const formatStory = (request: string, { steps, orders, linesRead, badLines }: Story): string => {
  const told = steps.flatMap(({ line, beliefs }) => [
    formatLine(line),
    ...[...beliefs].map(([topic, belief]) => formatBelief(line.timeMs, topic, belief)),
  ]);
  const lines = [
    steps.length === 0 ? `request ${request}: no line in these files` : `request ${request}`,
    ...told,
    ...(orders.length === 0 ? [] : ['orders for its model', ...orders.map(formatLine)]),
    `${linesRead} lines read, ${badLines} of them unreadable`,
  ];
  return `${lines.join('\n')}\n`;
};

export default formatStory;
