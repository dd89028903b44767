import { asValue } from 'awilix';
import { PeerClients } from '@wisteriapath/peer';
import { parseSettings } from '@wisteriapath/config';
import { createLogger, startInstance } from '@wisteriapath/daemon';
import { HttpLog, type LogPort } from '@wisteriapath/log-client';
import { loopbackSettings, startInstanceList, startLog } from '@wisteriapath/standins';
import OperatorClient from '../../src/OperatorClient';
import DisconnectableLog from './DisconnectableLog';
import DisconnectablePeers from './DisconnectablePeers';
import eventually from './eventually';

type Standin = Awaited<ReturnType<typeof startLog>>;

interface InstanceOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly settings?: Sections;
  /** Whether to wait until the instance is ready. */
  readonly awaitReady?: boolean;
}

export interface InProcessInstance {
  readonly name: string;
  readonly callersUrl: string;
  readonly operator: OperatorClient;
  /** Log lines of the instance. */
  readonly lines: string[];
  /** Disconnects the instance from the log, or reconnects it. */
  setLogDisconnected(isDisconnected: boolean): void;
  stop(): Promise<void>;
}

type Sections = Readonly<Record<string, Readonly<Record<string, string | number>>>>;

const TOKEN = 'operator-token';
const TEST_SETTINGS: Record<string, Readonly<Record<string, string | number>>> = {
  budgets: { loan_term_ms: 600 },
  roles: { probe_interval_ms: 100 },
  claims: { shards: 2 },
  placement: { poll_interval_ms: 100 },
};

/** A system of instances in the test's own process, with links that can be disconnected. */
class InProcessSystem {
  private readonly instances: InProcessInstance[] = [];

  private readonly domainOfAddress = new Map<string, string>();

  private readonly disconnectedDomains = new Set<string>();

  private constructor(
    readonly log: Standin,
    readonly instanceList: Standin,
    private readonly domains: readonly string[],
  ) {}

  static async start(
    domains: readonly string[],
    logOptions: object = {},
  ): Promise<InProcessSystem> {
    const [log, instanceList] = await Promise.all([startLog(logOptions), startInstanceList()]);
    return new InProcessSystem(log, instanceList, domains);
  }

  /** Disconnects the instances of a failure domain from those of other domains, or reconnects them. */
  setDomainDisconnected(failureDomain: string, isDisconnected: boolean): void {
    if (isDisconnected) this.disconnectedDomains.add(failureDomain);
    else this.disconnectedDomains.delete(failureDomain);
  }

  async instance(options: InstanceOptions): Promise<InProcessInstance> {
    const settings = parseSettings(options.name, this.settingsText(options)).unsafeCoerce();
    const lines: string[] = [];
    const logger = createLogger('info', (line) => lines.push(line));
    const log = new DisconnectableLog(new HttpLog(this.log.url));
    const peers = new DisconnectablePeers((address) =>
      this.isDisconnected(options.failureDomain, address),
    );
    const running = await startInstance(settings, logger, (container) => {
      container.register({
        httpLog: asValue(log as LogPort as HttpLog),
        peerClients: asValue(peers as PeerClients),
      });
    });
    this.domainOfAddress.set(running.peerAddress, options.failureDomain);
    await this.registerInstance(options, running.peerAddress);
    const operator = new OperatorClient(running.operatorsUrl, TOKEN);
    const instance: InProcessInstance = {
      name: options.name,
      callersUrl: running.callersUrl,
      operator,
      lines,
      setLogDisconnected: (isDisconnected) => log.setDisconnected(isDisconnected),
      stop: () => running.stop(),
    };
    this.instances.push(instance);
    if (options.awaitReady !== false) {
      await eventually(
        () => operator.status(),
        (status) => status.ready,
      );
    }
    return instance;
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.stop()));
    await Promise.all([this.log.close(), this.instanceList.close()]);
  }

  private isDisconnected(ownDomain: string, address: string): boolean {
    const other = this.domainOfAddress.get(address) ?? ownDomain;
    if (other === ownDomain) return false;
    return this.disconnectedDomains.has(ownDomain) || this.disconnectedDomains.has(other);
  }

  private async registerInstance(options: InstanceOptions, peerAddress: string): Promise<void> {
    const { failureDomain } = options;
    await fetch(`${this.instanceList.url}/instances/${options.name}`, {
      method: 'PUT',
      body: JSON.stringify({ failureDomain, peerAddress }),
    });
  }

  private settingsText(options: InstanceOptions): string {
    const sections = { ...TEST_SETTINGS };
    Object.entries(options.settings ?? {}).forEach(([section, keys]) => {
      sections[section] = { ...sections[section], ...keys };
    });
    return loopbackSettings({
      name: options.name,
      failureDomain: options.failureDomain,
      failureDomains: this.domains,
      logUrl: this.log.url,
      instanceListUrl: this.instanceList.url,
      operatorToken: TOKEN,
      sections,
    });
  }
}

export default InProcessSystem;
