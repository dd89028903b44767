/** A caller that speaks HTTP/1.1 on a socket of its own and tells how each answer ended. */
import { Buffer } from 'node:buffer';
import { randomBytes } from 'node:crypto';
import { get } from 'node:http';
import { connect } from 'node:net';

export const attemptId = () => randomBytes(8).toString('hex');

/** Whether a machine answers the platform's question with 200. */
export const isReady = (host, port) =>
  new Promise((resolve) => {
    const request = get(
      { host, port, path: '/v1/readyz', timeout: 1_000, agent: false },
      (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });

/** Splits an answer into its parts; `isComplete` only if its framing shows the end of the body. */
export const parseAnswer = (bytes) => {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return { status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false };
  const [first, ...lines] = bytes.toString('latin1', 0, end).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => {
      const at = line.indexOf(':');
      return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }),
  );
  const rest = bytes.subarray(end + 4);
  const status = Number(first.split(' ')[1]);
  if (headers['transfer-encoding'] === 'chunked') {
    const isComplete = rest.toString('latin1').endsWith('0\r\n\r\n');
    return { status, headers, body: rest, isComplete };
  }
  const length = Number(headers['content-length'] ?? 0);
  return { status, headers, body: rest.subarray(0, length), isComplete: rest.length >= length };
};

/** Sends one request on a new connection; resolves with its answer or how the connection ended. Never rejects. */
export const call = (
  { host, port },
  { method = 'POST', path, headers = {}, body = '', id = attemptId(), limitMs = 12_000, onSocket },
) =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const chunks = [];
    const sentMs = Date.now();
    let error = '';
    const finish = () => {
      socket.destroy();
      const answer = parseAnswer(Buffer.concat(chunks));
      resolve({ id, sentMs, endedMs: Date.now(), error, ...answer });
    };
    socket.setTimeout(limitMs, () => {
      error = 'no answer in time';
      finish();
    });
    socket.on('connect', () => {
      const all = {
        Host: 'cups.example',
        'Attempt-Id': id,
        'Deadline-Ms': '10000',
        'X-Api-Key': 'key-1',
        'Content-Length': String(Buffer.byteLength(body)),
        Connection: 'close',
        ...headers,
      };
      const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}`);
      socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`);
      onSocket?.(socket);
    });
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      if (parseAnswer(Buffer.concat(chunks)).isComplete) finish();
    });
    socket.on('error', ({ code }) => {
      error = code;
    });
    socket.on('close', finish);
  });
