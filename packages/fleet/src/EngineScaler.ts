import KnownInstances from './KnownInstances';
import type ScalerOptions from './ScalerOptions';
import type ScalerParts from './ScalerParts';
import ServiceScaler from './ServiceScaler';
import runLoop from './runLoop';

const STEP_INTERVAL_MS = 250;
const MS_PER_S = 1_000;
/** Holders of other duties, which share the rate of calls with the placers. */
const OTHER_CALLERS = 1;

/**
 * Orders how many engines the services of a failure domain have, while this instance holds the authority to order its
 * engines. Only services whose desired state has limits for it are touched.
 */
class EngineScaler {
  private readonly services = new Map<string, ServiceScaler>();

  private readonly instances: KnownInstances;

  /** Fencing token of the tenure in which the services were observed. */
  private fence = 0;

  /** Version of the desired state whose limits were logged last. */
  private loggedVersion = -1;

  private nextCallMs = -Infinity;

  private isCalling = false;

  private isStopped = false;

  constructor(
    private readonly options: ScalerOptions,
    private readonly parts: ScalerParts,
  ) {
    this.instances = new KnownInstances(parts.clock, parts.instances);
  }

  /** Runs until `stop`. */
  async run(): Promise<void> {
    const { clock, log } = this.parts;
    const isOver = () => this.isStopped;
    const step = async () => {
      this.step();
      await clock.sleep(STEP_INTERVAL_MS);
    };
    await runLoop({ name: 'scaling', clock, log, isOver, step });
  }

  stop(): void {
    this.isStopped = true;
  }

  private step(): void {
    const { authority } = this.parts;
    this.updateServices();
    if (!authority.isHeld()) return;
    if (authority.fence !== this.fence) {
      // What an earlier tenure ordered may have been replaced by another holder since.
      this.services.clear();
      this.fence = authority.fence;
      this.updateServices();
    }
    this.services.forEach((service) => service.step());
    void this.callOne();
  }

  /** Sends one order that is due, within this placer's share of the calls. */
  private async callOne(): Promise<void> {
    const { clock, activeDomains } = this.parts;
    if (this.isCalling || clock.nowMs() < this.nextCallMs) return;
    const due = [...this.services.values()].find(({ isCallDue }) => isCallDue);
    if (due === undefined) return;
    const callers = activeDomains().length + OTHER_CALLERS;
    this.nextCallMs = clock.nowMs() + (MS_PER_S * callers) / this.options.maxCallsPerS;
    this.isCalling = true;
    try {
      await due.call();
    } finally {
      this.isCalling = false;
    }
  }

  private updateServices(): void {
    const state = this.parts.desired();
    const pools = [...(state?.pools.values() ?? [])];
    const scaled = new Set<string>();
    pools.forEach(({ name, engine, scaling }) => {
      if (engine === null || !scaling) return;
      scaled.add(name);
      const service = { pool: name, engine, limits: scaling };
      const known = this.services.get(name);
      if (known !== undefined) known.update(service);
      else {
        const { options, parts, instances } = this;
        this.services.set(name, new ServiceScaler(service, options, parts, instances));
      }
    });
    this.services.forEach((_, name) => {
      if (!scaled.has(name)) this.services.delete(name);
    });
    this.logLimits();
  }

  private logLimits(): void {
    const state = this.parts.desired();
    if (state === undefined || state.version === this.loggedVersion) return;
    this.loggedVersion = state.version;
    state.pools.forEach(({ name: pool, scaling, engine }) => {
      if (scaling === undefined) return;
      const isUsable = scaling !== null && engine !== null;
      const { min = '', max = '', bootMs = '' } = scaling ?? {};
      const fields = { version: state.version, pool, usable: isUsable, min, max, boot_ms: bootMs };
      this.parts.log.event('scale_limits', fields);
    });
  }
}

export default EngineScaler;
