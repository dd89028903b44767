/** A stand-in for the platform's store: a log with keyed topics. Each machine has an entrance of its own. */
import { Buffer } from 'node:buffer';
import { EventEmitter } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';

const HOST = '127.0.0.1';
const ANSWER_MS = 4;

const split = (bytes) => {
  const records = [];
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at);
    records.push(bytes.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
};

const decodeKeyed = (record) => {
  const keyLength = record.readUInt8(0);
  return { key: record.toString('utf8', 1, 1 + keyLength), value: record.subarray(1 + keyLength) };
};

const encodeKeyed = (key, value) => {
  const body = Buffer.concat([
    Buffer.from([Buffer.byteLength(key)]),
    Buffer.from(key),
    Buffer.from(value),
  ]);
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length, 0);
  return Buffer.concat([head, body]);
};

const json = (response, status, body) => {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
};

class Store {
  topics = new Map();

  changes = new EventEmitter().setMaxListeners(0);

  entrances = new Map();

  partition(topic) {
    const known = this.topics.get(topic) ?? { log: [], newest: new Map() };
    this.topics.set(topic, known);
    return known;
  }

  /** Writes a record, as the operator and the targets do. An empty value drops the key. */
  write(topic, key, value) {
    const part = this.partition(topic);
    const offset = part.log.length;
    part.log.push(encodeKeyed(key, value));
    if (value.length === 0) part.newest.delete(key);
    else part.newest.set(key, { value: Buffer.from(value), offset });
    this.changes.emit(topic);
    return offset;
  }

  /** Opens the entrance of a machine; returns its address. */
  async open(machine) {
    const entrance = { server: null };
    entrance.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        setTimeout(() => this.handle(request, response, Buffer.concat(chunks)), ANSWER_MS);
      });
    });
    await new Promise((resolve) => {
      entrance.server.listen(0, HOST, resolve);
    });
    this.entrances.set(machine, entrance);
    return `${HOST}:${entrance.server.address().port}`;
  }

  close() {
    this.entrances.forEach(({ server }) => {
      server.closeAllConnections();
      server.close();
    });
  }

  handle(request, response, body) {
    const { pathname, searchParams } = new URL(request.url, `http://${HOST}`);
    const calls = {
      '/v1/log-append': () => this.append(searchParams, body, response),
      '/v1/log-read': () => this.read(searchParams, response),
      '/v1/log-newest': () => this.newest(searchParams, response),
    };
    const call = calls[pathname];
    if (call === undefined) json(response, 404, {});
    else call();
  }

  append(query, body, response) {
    const topic = query.get('topic');
    const at = query.get('at');
    const end = this.partition(topic).log.length;
    if (at !== null && Number(at) !== end) {
      json(response, 412, { end });
      return;
    }
    split(body).forEach((record) => {
      const { key, value } = decodeKeyed(record);
      this.write(topic, key, value);
    });
    json(response, 200, { offset: end, end: this.partition(topic).log.length });
  }

  read(query, response) {
    const topic = query.get('topic');
    const from = Number(query.get('from'));
    const answer = () => {
      this.changes.off(topic, answer);
      if (response.headersSent || response.destroyed) return;
      const { log } = this.partition(topic);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(log.length), 0);
      response.writeHead(200).end(Buffer.concat([head, ...log.slice(from)]));
    };
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (from < this.partition(topic).log.length || waitMs === 0) {
      answer();
      return;
    }
    this.changes.on(topic, answer);
    setTimeout(answer, waitMs).unref();
    response.on('close', () => this.changes.off(topic, answer));
  }

  newest(query, response) {
    const { log, newest } = this.partition(query.get('topic'));
    const items = [...newest].map(([key, { value, offset }]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    json(response, 200, { items, has_more: false, end: log.length });
  }
}

export default Store;
