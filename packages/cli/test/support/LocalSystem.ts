import { asValue } from 'awilix';
import { PeerClients } from '@wisteriapath/peer';
import { parseSettings } from '@wisteriapath/config';
import { createLogger, startInstance } from '@wisteriapath/daemon';
import { HttpLog, type LogPort } from '@wisteriapath/log-client';
import { loopbackSettings, startInstanceList, startLog } from '@wisteriapath/standins';
import OperatorClient from '../../src/OperatorClient';
import CuttableLog from './CuttableLog';
import CuttablePeers from './CuttablePeers';
import eventually from './eventually';

type Standin = Awaited<ReturnType<typeof startLog>>;

interface Plan {
  readonly name: string;
  readonly failureDomain: string;
  readonly settings?: Sections;
  /** Whether to wait until the instance is ready. */
  readonly awaitReady?: boolean;
}

export interface LocalInstance {
  readonly name: string;
  readonly callersUrl: string;
  readonly operator: OperatorClient;
  /** Lines that the instance logged. */
  readonly lines: string[];
  /** Cuts the instance off the log, or joins it again. */
  cutLog(cut: boolean): void;
  stop(): Promise<void>;
}

type Sections = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

const TOKEN = 'operator-token';
const FAST_SECTIONS: Record<string, Readonly<Record<string, string | number>>> = {
  budgets: { loan_term_ms: 600 },
  roles: { probe_interval_ms: 100 },
  claims: { shards: 2 },
  placement: { poll_interval_ms: 100 },
};

/** Instances in the test's own process, with links that can be cut. */
class LocalSystem {
  private readonly instances: LocalInstance[] = [];

  private readonly domainOfAddress = new Map<string, string>();

  private readonly cutDomains = new Set<string>();

  private constructor(
    readonly log: Standin,
    readonly list: Standin,
    private readonly domains: readonly string[],
  ) {}

  static async start(domains: readonly string[], logOptions: object = {}): Promise<LocalSystem> {
    const [log, list] = await Promise.all([startLog(logOptions), startInstanceList()]);
    return new LocalSystem(log, list, domains);
  }

  /** Cuts a failure domain off the others' instances, or joins it again. */
  cutPeers(failureDomain: string, cut: boolean): void {
    if (cut) this.cutDomains.add(failureDomain);
    else this.cutDomains.delete(failureDomain);
  }

  async instance(plan: Plan): Promise<LocalInstance> {
    const settings = parseSettings(plan.name, this.settingsText(plan)).unsafeCoerce();
    const lines: string[] = [];
    const logger = createLogger('info', (line) => lines.push(line));
    const log = new CuttableLog(new HttpLog(this.log.url));
    const peers = new CuttablePeers((address) => this.isCut(plan.failureDomain, address));
    const running = await startInstance(settings, logger, (container) => {
      container.register({
        httpLog: asValue(log as LogPort as HttpLog),
        peerClients: asValue(peers as PeerClients),
      });
    });
    this.domainOfAddress.set(running.peerAddress, plan.failureDomain);
    await this.announce(plan, running.peerAddress);
    const operator = new OperatorClient(running.operatorsUrl, TOKEN);
    const instance: LocalInstance = {
      name: plan.name,
      callersUrl: running.callersUrl,
      operator,
      lines,
      cutLog: (cut) => log.setCut(cut),
      stop: () => running.stop(),
    };
    this.instances.push(instance);
    if (plan.awaitReady !== false) {
      await eventually(
        () => operator.status(),
        (status) => status.ready,
      );
    }
    return instance;
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.stop()));
    await Promise.all([this.log.close(), this.list.close()]);
  }

  private isCut(ownDomain: string, address: string): boolean {
    const other = this.domainOfAddress.get(address) ?? ownDomain;
    if (other === ownDomain) return false;
    return this.cutDomains.has(ownDomain) || this.cutDomains.has(other);
  }

  private async announce(plan: Plan, peerAddress: string): Promise<void> {
    const { failureDomain } = plan;
    await fetch(`${this.list.url}/instances/${plan.name}`, {
      method: 'PUT',
      body: JSON.stringify({ failureDomain, peerAddress }),
    });
  }

  private settingsText(plan: Plan): string {
    const sections = { ...FAST_SECTIONS };
    Object.entries(plan.settings ?? {}).forEach(([section, keys]) => {
      sections[section] = { ...sections[section], ...keys };
    });
    return loopbackSettings({
      name: plan.name,
      failureDomain: plan.failureDomain,
      failureDomains: this.domains,
      logUrl: this.log.url,
      instanceListUrl: this.list.url,
      operatorToken: TOKEN,
      sections,
    });
  }
}

export default LocalSystem;
