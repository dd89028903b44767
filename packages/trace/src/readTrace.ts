import InstanceView from './InstanceView';
import type LogLine from './LogLine';
import type TraceEntry from './TraceEntry';
import type RequestTrace from './RequestTrace';
import parseLogLine from './parseLogLine';

/** A log that can be read more than once. */
type Source = () => AsyncIterable<string>;

const ORDER_EVENTS = new Set(['load_put_off', 'load_decided', 'order_answered', 'order_ended']);
const REFUSED_EVENT = 'request_refused';
/** Orders for the model of a request are included if they are at most this much older than the request. */
const ORDER_LOOKBACK_MS = 10_000;

const byTime = (one: LogLine, other: LogLine): number => one.timeMs - other.timeMs;

/** Returns the time at which the request arrived if the line states its duration, else the time of the line. */
const startTimeMs = ({ timeMs, fields }: LogLine): number => timeMs - Number(fields.took_ms ?? 0);

const readEntries = async (
  request: string,
  sources: readonly Source[],
): Promise<Omit<RequestTrace, 'orders'>> => {
  const entries: TraceEntry[] = [];
  let linesRead = 0;
  let unreadableLines = 0;
  for (const source of sources) {
    const views = new Map<string, InstanceView>();
    for await (const text of source()) {
      if (text.trim() === '') continue;
      linesRead += 1;
      const line = parseLogLine(text);
      if (line === undefined) {
        unreadableLines += 1;
        continue;
      }
      const view = views.get(line.instance) ?? new InstanceView();
      views.set(line.instance, view);
      view.applyLine(line);
      if (line.fields.request === request) {
        entries.push({ line, view: view.entriesFor(line.fields.target ?? '') });
      }
    }
  }
  entries.sort((one, other) => byTime(one.line, other.line));
  return { entries, linesRead, unreadableLines };
};

const readOrders = async (
  entries: readonly TraceEntry[],
  sources: readonly Source[],
): Promise<LogLine[]> => {
  // Orders do not concern a request that was refused before the search for a target.
  const entriesWithTarget = entries.filter(({ line }) => line.event !== REFUSED_EVENT);
  const model = entriesWithTarget.map(({ line }) => line.fields.model).find((name) => name) ?? '';
  if (model === '') return [];
  const fromMs = Math.min(...entries.map(({ line }) => startTimeMs(line))) - ORDER_LOOKBACK_MS;
  const untilMs = Math.max(...entries.map(({ line }) => line.timeMs));
  const orders: LogLine[] = [];
  for (const source of sources) {
    for await (const text of source()) {
      // Most lines are not orders. Parsing is the expensive step, so only lines that contain the model are parsed.
      const line = text.includes(model) ? parseLogLine(text) : undefined;
      if (line === undefined || !ORDER_EVENTS.has(line.event)) continue;
      const isInRange = line.timeMs >= fromMs && line.timeMs <= untilMs;
      if (isInRange && line.fields.model === model) orders.push(line);
    }
  }
  return orders.sort(byTime);
};

/**
 * Builds the trace of one request from the logs of any number of instances. The lines of each instance must be
 * in the order in which they were written. Lines that cannot be parsed are counted and skipped.
 *
 * @example
 * const requestTrace = await readTrace('4f1c', [() => lines]);
 */
const readTrace = async (request: string, sources: readonly Source[]): Promise<RequestTrace> => {
  const read = await readEntries(request, sources);
  return { ...read, orders: await readOrders(read.entries, sources) };
};

export default readTrace;
