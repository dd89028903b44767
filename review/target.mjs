/** A stand-in for a plain service's engine, which registers itself in the store. */
import { createServer } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';

const HOST = '127.0.0.1';
const HEARTBEAT_MS = 1_200;

/** A target that runs each request once with `run({ request, response, body, headers })`. */
class Target {
  seq = 0;

  bornMs = Date.now();

  running = 0;

  constructor({ store, id, service, zone, slots = 6, run, entry = () => ({}) }) {
    Object.assign(this, { store, id, service, zone, slots, run, entry });
  }

  async start() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.receive(request, response, chunks.join('')));
    });
    this.server.keepAliveTimeout = 30_000;
    await new Promise((resolve) => {
      this.server.listen(0, HOST, resolve);
    });
    this.address = `${HOST}:${this.server.address().port}`;
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  /** Writes the entry, as with each heartbeat. */
  register() {
    this.seq += 1;
    const entry = {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_left_ms: 0,
      seq: this.seq,
      born: this.bornMs,
      ...this.entry(),
    };
    this.store.write('keyed.servers', this.id, JSON.stringify(entry));
  }

  receive(request, response, body) {
    const { headers } = request;
    response.setHeader('Attempt-Id', headers['attempt-id'] ?? '');
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== this.id) {
      response.writeHead(421, { 'Instance-Id': this.id }).end();
      return;
    }
    if (this.answerControl?.(request, response, body)) return;
    this.running += 1;
    response.on('close', () => {
      this.running -= 1;
    });
    response.setHeader('Server-Stamp', `stamp.${this.id}.${headers['attempt-id']}`);
    response.setHeader('Instance-Load', `${this.running},0,${this.slots}`);
    this.run({ request, response, headers, body });
  }

  stop() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }
}

export default Target;
