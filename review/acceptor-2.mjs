/** Listens for an engine and hands each connection to it. While this process is stopped, connections are not accepted any more. */
import { createServer } from 'node:net';
import process from 'node:process';

const BACKLOG = 1;

const server = createServer({ pauseOnConnect: true }, (socket) => {
  process.send('connection', socket);
});
server.listen({ host: '127.0.0.1', port: 0, backlog: BACKLOG }, () => {
  process.send({ port: server.address().port });
});
process.on('disconnect', () => process.exit(0));
