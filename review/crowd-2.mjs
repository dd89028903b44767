/**
 * Clients that send bodies in chunks, stop just short of their end and stay open, in a process of their own. A client whose connection is
 * closed comes again. Arguments: the instances as `host:port`, joined by commas, and the crowd of each as JSON.
 */
import { Buffer } from 'node:buffer';
import { connect } from 'node:net';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const [instancesText, planText] = process.argv.slice(2);
const plan = JSON.parse(planText);
const RETURN_MS = 200;
const TELL_MS = 1_000;
const PIECE_BYTES = 65_536;
const counts = { opened: 0, closed: 0, answered: 0 };

const chunk = Buffer.from(`${plan.chunkBytes.toString(16)}\r\n${'x'.repeat(plan.chunkBytes)}\r\n`);
const chunksInPiece = Math.max(1, Math.floor(PIECE_BYTES / chunk.length));
const notes = Array.from(
  { length: plan.headerLines },
  (_, line) => `X-Note-${line}: ${'v'.repeat(plan.headerChars)}\r\n`,
).join('');

const startClient = (host, port, number) => {
  counts.opened += 1;
  let chunksLeft = Math.floor(plan.bodyBytes / plan.chunkBytes) - 1;
  let isOver = false;
  const socket = connect({ host, port });
  const write = () => {
    while (!isOver && chunksLeft > 0) {
      const count = Math.min(chunksLeft, chunksInPiece);
      chunksLeft -= count;
      if (!socket.write(Buffer.concat(Array(count).fill(chunk)))) return;
    }
  };
  socket.on('connect', () => {
    const head = [
      `POST ${plan.path} HTTP/1.1`,
      'Host: cups.example',
      `Attempt-Id: crowd${counts.opened}`,
      'Deadline-Ms: 60000',
      `X-Api-Key: ${plan.key}`,
      `${notes}Transfer-Encoding: chunked`,
    ].join('\r\n');
    socket.write(`${head}\r\n\r\n`);
    write();
  });
  socket.on('drain', write);
  socket.once('data', () => {
    counts.answered += 1;
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    isOver = true;
    counts.closed += 1;
    setTimeout(() => startClient(host, port, number), RETURN_MS);
  });
};

instancesText.split(',').forEach((instance) => {
  const [host, port] = instance.split(':');
  for (let number = 0; number < plan.clients; number += 1) {
    const startMs = (number * plan.overMs) / plan.clients;
    setTimeout(() => startClient(host, Number(port), number), startMs);
  }
});

const tell = () => {
  process.stdout.write(`${JSON.stringify(counts)}\n`);
  setTimeout(tell, TELL_MS);
};
tell();
