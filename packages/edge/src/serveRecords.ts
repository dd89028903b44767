import { type EventLog, recordSpanCodec, StoreTopic } from '@wisteriapath/fleet';
import HttpListener from './HttpListener';
import type StoreView from './StoreView';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const TOPICS: ReadonlySet<string> = new Set(Object.values(StoreTopic));

/**
 * Serves what this instance knows of the platform's store to peers that lack it:
 * `GET /records?topic=targets&from=OFFSET&era=ERA`, or without `from` for all keys. Without `era`, as from instances of
 * an earlier build, the offset is of era 0.
 *
 * @example
 * const listener = await serveRecords('10.1.0.25:7600', storeView, log);
 */
const serveRecords = (address: string, view: StoreView, log: EventLog): Promise<HttpListener> =>
  HttpListener.open(address, {}, log, (request, response) => {
    // Not `URL`, which rejects some targets that a request line may have, such as `//`.
    const [path, query = ''] = (request.url ?? '').split('?');
    const searchParams = new URLSearchParams(query);
    const topic = searchParams.get('topic') ?? '';
    const from = searchParams.get('from');
    const era = searchParams.get('era') ?? '0';
    const areNumbers = [from ?? '0', era].every((text) => /^\d+$/.test(text));
    if (path !== '/records' || !TOPICS.has(topic) || !areNumbers) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    if (view.end(topic as StoreTopic) === undefined) {
      response.writeHead(UNAVAILABLE).end();
      return;
    }
    const position = from === null ? null : { era: Number(era), offset: Number(from) };
    const span = view.since(topic as StoreTopic, position);
    response.writeHead(OK, { 'content-type': 'application/octet-stream' });
    response.end(recordSpanCodec.encode(span));
  });

export default serveRecords;
