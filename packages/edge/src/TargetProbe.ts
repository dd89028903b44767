import { connect } from 'node:net';
import type { EngineControl, EngineRuns, RegisteredTarget } from '@wisteriapath/fleet';
import RunQuestions from './RunQuestions';

const PROBE_TIMEOUT_MS = 300;
const REFUSED = 'ECONNREFUSED';

/** Finds out whether a target has ended, after a connection to it broke, and on which requests an engine works. */
class TargetProbe {
  private readonly probes = new Map<string, Promise<boolean>>();

  private readonly runQuestions: RunQuestions;

  constructor(engineControl: EngineControl) {
    this.runQuestions = new RunQuestions(engineControl);
  }

  /** Asks an engine which requests it works on. Never rejects. */
  runs(engine: RegisteredTarget): Promise<EngineRuns> {
    return this.runQuestions.ask(engine);
  }

  /**
   * Resolves to whether the target at an address refuses connections. A target that does not respond in time may be cut off,
   * and does not count as ended. Never rejects.
   */
  hasEnded(address: string): Promise<boolean> {
    const running = this.probes.get(address);
    if (running !== undefined) return running;
    const probe = TargetProbe.probe(address).finally(() => this.probes.delete(address));
    this.probes.set(address, probe);
    return probe;
  }

  private static probe(address: string): Promise<boolean> {
    const [host = '', port = '0'] = address.split(':');
    return new Promise((resolve) => {
      const socket = connect({ host, port: Number(port), timeout: PROBE_TIMEOUT_MS });
      const finish = (hasEnded: boolean) => {
        socket.destroy();
        resolve(hasEnded);
      };
      socket.on('connect', () => finish(false));
      socket.on('timeout', () => finish(false));
      socket.on('error', ({ code }: NodeJS.ErrnoException) => finish(code === REFUSED));
    });
  }
}

export default TargetProbe;
