import type { Clock } from '@wisteriapath/model';
import {
  EngineContact,
  type EngineControl,
  type EngineRuns,
  type RegisteredTarget,
} from '@wisteriapath/fleet';
import RunQuestions from './RunQuestions';
import probeConnection from './probeConnection';

const PROBE_TIMEOUT_MS = 300;

/** Finds out whether a target has ended, after a connection to it broke, and on which requests an engine works. */
class TargetProbe {
  private readonly probes = new Map<string, Promise<boolean>>();

  private readonly runQuestions: RunQuestions;

  constructor(
    control: EngineControl,
    clock: Clock,
    /** When the last byte arrived from an engine, on the monotonic clock. */
    lastByteAtMs: (engine: RegisteredTarget) => number,
  ) {
    this.runQuestions = new RunQuestions({ clock, control, open: probeConnection, lastByteAtMs });
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
    const probe = TargetProbe.refuses(address).finally(() => this.probes.delete(address));
    this.probes.set(address, probe);
    return probe;
  }

  private static async refuses(address: string): Promise<boolean> {
    return (await probeConnection(address, PROBE_TIMEOUT_MS)) === EngineContact.Refused;
  }
}

export default TargetProbe;
