/** A proxy that stands for a network path. It can let connections that have been idle go silent, without a reset. */
import { performance } from 'node:perf_hooks';
import { connect, createServer } from 'node:net';

const HOST = '127.0.0.1';

const startLink = async (port) => {
  const paths = new Set();
  const server = createServer((near) => {
    const far = connect({ port, host: HOST });
    const path = { near, far, isSilent: false, lastMs: performance.now() };
    paths.add(path);
    const forward = (from, to) => {
      from.setNoDelay(true);
      from.on('data', (bytes) => {
        path.lastMs = performance.now();
        if (!path.isSilent) to.write(bytes);
      });
      from.on('error', () => {});
      from.on('close', () => {
        paths.delete(path);
        if (!path.isSilent) to.destroy();
      });
    };
    forward(near, far);
    forward(far, near);
  });
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return {
    address: `${HOST}:${server.address().port}`,
    /** Lets all connections that have carried nothing for this time go silent for good; returns how many, and how many there are. */
    silenceIdle: (idleMs) => {
      const sinceMs = performance.now() - idleMs;
      const idle = [...paths].filter(({ lastMs }) => lastMs <= sinceMs);
      idle.forEach((path) => Object.assign(path, { isSilent: true }));
      return { silent: idle.length, open: paths.size };
    },
    close: () => {
      paths.forEach(({ near, far }) => [near, far].forEach((socket) => socket.destroy()));
      server.close();
    },
  };
};

export default startLink;
