import Beliefs from './Beliefs';
import type LogLine from './LogLine';
import type Step from './Step';
import type Story from './Story';
import parseLogLine from './parseLogLine';

/** A log that can be read more than once. */
type Source = () => AsyncIterable<string>;

const ORDER_EVENTS = new Set(['load_put_off', 'load_decided', 'order_answered', 'order_ended']);
const REFUSED_EVENT = 'request_refused';
/** Time before a request in which an order for its model still explains it. */
const ORDERS_BEFORE_MS = 10_000;

const byTime = (one: LogLine, other: LogLine): number => one.timeMs - other.timeMs;

/** When a request came, as the line of its end tells; else the time of the line. */
const startOf = ({ timeMs, fields }: LogLine): number => timeMs - Number(fields.took_ms ?? 0);

const readSteps = async (
  request: string,
  sources: readonly Source[],
): Promise<Omit<Story, 'orders'>> => {
  const steps: Step[] = [];
  let linesRead = 0;
  let badLines = 0;
  for (const source of sources) {
    const instances = new Map<string, Beliefs>();
    for await (const text of source()) {
      if (text.trim() === '') continue;
      linesRead += 1;
      const line = parseLogLine(text);
      if (line === undefined) {
        badLines += 1;
        continue;
      }
      const beliefs = instances.get(line.instance) ?? new Beliefs();
      instances.set(line.instance, beliefs);
      beliefs.absorb(line);
      if (line.fields.request === request) {
        steps.push({ line, beliefs: beliefs.about(line.fields.target ?? '') });
      }
    }
  }
  steps.sort((one, other) => byTime(one.line, other.line));
  return { steps, linesRead, badLines };
};

const readOrders = async (
  steps: readonly Step[],
  sources: readonly Source[],
): Promise<LogLine[]> => {
  // A request that was refused before a target was looked for has nothing to do with orders.
  const sought = steps.filter(({ line }) => line.event !== REFUSED_EVENT);
  const model = sought.map(({ line }) => line.fields.model).find((name) => name) ?? '';
  if (model === '') return [];
  const fromMs = Math.min(...steps.map(({ line }) => startOf(line))) - ORDERS_BEFORE_MS;
  const untilMs = Math.max(...steps.map(({ line }) => line.timeMs));
  const orders: LogLine[] = [];
  for (const source of sources) {
    for await (const text of source()) {
      // Most lines are not orders, and parsing is what costs.
      const line = text.includes(model) ? parseLogLine(text) : undefined;
      if (line === undefined || !ORDER_EVENTS.has(line.event)) continue;
      const isNear = line.timeMs >= fromMs && line.timeMs <= untilMs;
      if (isNear && line.fields.model === model) orders.push(line);
    }
  }
  return orders.sort(byTime);
};

/**
 * The story of one request, from the logs of any number of instances. Lines of one instance must stand in
 * the order in which they were written; lines that cannot be read are counted.
 *
 * @example
 * const story = await readStory('4f1c', [() => lines]);
 */
const readStory = async (request: string, sources: readonly Source[]): Promise<Story> => {
  const read = await readSteps(request, sources);
  return { ...read, orders: await readOrders(read.steps, sources) };
};

export default readStory;
