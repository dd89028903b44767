/** A stand-in for the platform's store: keyed topics, with appends, reads that wait, and the newest record of each key. */
import { Buffer } from 'node:buffer';
import { EventEmitter } from 'node:events';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const HOST = '127.0.0.1';
const ANSWER_MS = 4;

const encode = ({ key, value }) => {
  const content = Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), value]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
};

const decodeAll = (bytes) => {
  const records = [];
  for (let at = 0; at + 4 <= bytes.length;) {
    const end = at + 4 + bytes.readUInt32BE(at);
    const keyEnd = at + 5 + bytes.readUInt8(at + 4);
    records.push({
      key: bytes.toString('utf8', at + 5, keyEnd),
      value: bytes.subarray(keyEnd, end),
    });
    at = end;
  }
  return records;
};

const startStore = async () => {
  const topics = new Map();
  const changed = new EventEmitter().setMaxListeners(0);
  const recordsOf = (topic) => {
    if (!topics.has(topic)) topics.set(topic, []);
    return topics.get(topic);
  };
  const json = (response, status, body) => {
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  };
  const write = (topic, key, value) => {
    recordsOf(topic).push({ key, value: Buffer.from(value) });
    changed.emit(topic);
  };
  const append = (query, body, response) => {
    const topic = query.get('topic');
    const records = recordsOf(topic);
    const offset = records.length;
    if (topic === 'keyed.op' || topic === 'keyed.servers') {
      json(response, 403, {});
      return;
    }
    if (query.has('at') && Number(query.get('at')) !== offset) {
      json(response, 412, { end: offset });
      return;
    }
    records.push(...decodeAll(body));
    changed.emit(topic);
    json(response, 200, { offset, end: records.length });
  };
  const read = (query, response) => {
    const records = recordsOf(query.get('topic'));
    const from = Number(query.get('from'));
    if (from > records.length) {
      json(response, 410, { first: 0 });
      return;
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(Buffer.concat([head, ...records.slice(from).map(encode)]));
  };
  const readLater = (query, response) => {
    const topic = query.get('topic');
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (waitMs === 0 || Number(query.get('from')) !== recordsOf(topic).length) {
      read(query, response);
      return;
    }
    const answer = () => {
      changed.off(topic, answer);
      if (!response.headersSent && !response.destroyed) read(query, response);
    };
    changed.on(topic, answer);
    const timer = setTimeout(answer, waitMs);
    response.on('close', () => {
      clearTimeout(timer);
      changed.off(topic, answer);
    });
  };
  const newest = (query, response) => {
    const records = recordsOf(query.get('topic'));
    const newestOf = new Map(records.map((record, offset) => [record.key, { ...record, offset }]));
    const items = [...newestOf.values()]
      .filter(({ value }) => value.length > 0)
      .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }));
    json(response, 200, { items, has_more: false, end: records.length });
  };
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const { pathname, searchParams } = new URL(request.url, `http://${HOST}`);
      const calls = {
        '/v1/log-append': () => append(searchParams, Buffer.concat(chunks), response),
        '/v1/log-read': () => readLater(searchParams, response),
        '/v1/log-newest': () => newest(searchParams, response),
      };
      setTimeout(calls[pathname] ?? (() => json(response, 404, {})), ANSWER_MS);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return {
    port: server.address().port,
    /** Writes a record as the operator or an engine does. */
    write,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

export default startStore;
