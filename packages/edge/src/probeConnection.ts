import { connect } from 'node:net';
import { EngineContact } from '@wisteriapath/fleet';
import type ConnectionProbe from './ConnectionProbe';

const REFUSED = 'ECONNREFUSED';

/**
 * Opens a connection to `host:port` and closes it again. Resolves to `Silent` if it opened, which says nothing of what runs behind
 * it, to `Refused` if the address refuses connections, and to `Unopened` if neither happened in time. Never rejects.
 *
 * @example
 * const isOver = (await probeConnection('10.1.0.7:8000', 300)) === EngineContact.Refused;
 */
const probeConnection = (address: string, timeoutMs: number): Promise<ConnectionProbe> => {
  const [host = '', port = '0'] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    let lastTurn: NodeJS.Immediate | undefined;
    let timer: NodeJS.Timeout | undefined;
    const finish = (probe: ConnectionProbe) => {
      clearTimeout(timer);
      clearImmediate(lastTurn);
      socket.destroy();
      resolve(probe);
    };
    timer = setTimeout(() => {
      // Timers run before what has arrived is read, immediates after it.
      lastTurn = setImmediate(() => finish(EngineContact.Unopened));
    }, timeoutMs);
    socket.on('connect', () => finish(EngineContact.Silent));
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      // Another error may pass: its time counts in full, so that attempts in a row are apart.
      if (code === REFUSED) finish(EngineContact.Refused);
    });
  });
};

export default probeConnection;
