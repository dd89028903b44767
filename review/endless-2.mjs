/**
 * An engine in trouble, in a process of its own: behind the head of an answer it sends bytes without end, in chunks of one byte, until its
 * caller closes. Arguments: its id, and `sound` if it is to answer as it should. Prints its port.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const [id, mode] = process.argv.slice(2);
const WORK_MS = 20;
const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(10_000));
const HEAD_END = '\r\n\r\n';

const answer = (socket, head) => {
  const attempt = /^attempt-id: *(.*)$/im.exec(head)[1].trim();
  const lines = [
    'HTTP/1.1 200 OK',
    `Attempt-Id: ${attempt}`,
    `Server-Stamp: stamp.${id}.${attempt}`,
  ];
  if (mode === 'sound') {
    setTimeout(
      () => socket.write(`${lines.join('\r\n')}\r\nContent-Length: 2${HEAD_END}ok`),
      WORK_MS,
    );
    return;
  }
  const write = () => {
    let isTaken = true;
    while (isTaken && !socket.destroyed) isTaken = socket.write(CHUNKS);
  };
  socket.on('drain', write);
  socket.write(`${lines.join('\r\n')}\r\nTransfer-Encoding: chunked${HEAD_END}`);
  write();
};

const server = createServer((socket) => {
  let text = '';
  socket.on('error', () => {});
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
    // Requests have no body here.
    const end = text.indexOf(HEAD_END);
    if (end < 0) return;
    answer(socket, text.slice(0, end));
    text = text.slice(end + HEAD_END.length);
  });
});
server.listen(0, '127.0.0.1', () => process.stdout.write(`${server.address().port}\n`));
