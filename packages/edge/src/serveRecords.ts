import { type EventLog, recordSpanCodec, StoreTopic } from '@wisteriapath/fleet';
import HttpListener from './HttpListener';
import type StoreView from './StoreView';

const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;
const TOPICS: ReadonlySet<string> = new Set(Object.values(StoreTopic));

/**
 * Serves what this instance knows of the platform's store to peers that lack it:
 * `GET /records?topic=targets&from=OFFSET`, or without `from` for all keys.
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
    if (path !== '/records' || !TOPICS.has(topic) || !/^\d*$/.test(from ?? '')) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    if (view.end(topic as StoreTopic) === undefined) {
      response.writeHead(UNAVAILABLE).end();
      return;
    }
    const span = view.since(topic as StoreTopic, from === null ? null : Number(from));
    response.writeHead(OK, { 'content-type': 'application/octet-stream' });
    response.end(recordSpanCodec.encode(span));
  });

export default serveRecords;
