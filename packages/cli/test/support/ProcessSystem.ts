import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { sha256Hex } from '@wisteriapath/model';
import { request } from 'undici';
import OperatorClient from '../../src/OperatorClient';
import spawnNode from './spawnNode';

const CLI = join(__dirname, '../../dist/main.js');
const STANDIN = join(__dirname, '../../../standins/dist/main.js');
const TOKEN = 'operator-token';

type TestProcess = ReturnType<typeof spawnNode>;

interface Standin {
  readonly url: string;
  readonly process: TestProcess;
}

interface Instance {
  readonly name: string;
  readonly failureDomain: string;
  readonly process: TestProcess;
  readonly callersUrl: string;
  readonly peerAddress: string;
  readonly operator: OperatorClient;
}

interface InstancePlan {
  readonly name: string;
  readonly failureDomain: string;
  /** Fixed port for peers, to come back at the same address. */
  readonly peerPort?: number;
  /** Further settings, as INI lines by section. */
  readonly settings?: Readonly<Record<string, string>>;
}

/** A system of separate processes on the loopback address. */
class ProcessSystem {
  private readonly directory = mkdtempSync(join(tmpdir(), 'wisteriapath-test-'));

  private readonly processes: TestProcess[] = [];

  private constructor(
    readonly log: Standin,
    readonly list: Standin,
    private readonly domains: readonly string[],
  ) {}

  static async start(domains: readonly string[], logOptions: object = {}): Promise<ProcessSystem> {
    const [log, list] = await Promise.all([
      ProcessSystem.spawnStandin('log', logOptions),
      ProcessSystem.spawnStandin('instances', {}),
    ]);
    const system = new ProcessSystem(log, list, domains);
    system.processes.push(log.process, list.process);
    return system;
  }

  async standin(kind: string, options: object = {}): Promise<Standin> {
    const standin = await ProcessSystem.spawnStandin(kind, options);
    this.processes.push(standin.process);
    return standin;
  }

  async instance(plan: InstancePlan): Promise<Instance> {
    const { name, failureDomain } = plan;
    const file = join(this.directory, `${name}.ini`);
    writeFileSync(file, this.settingsText(plan));
    const process = spawnNode(CLI, ['serve', '--config', file]);
    this.processes.push(process);
    const [, callersUrl, operatorsUrl, peerAddress] = await process.waitFor(
      /callers=(\S+) operators=(\S+) peers=(\S+) event=started/,
    );
    const operator = new OperatorClient(operatorsUrl, TOKEN);
    await this.listInstance(name, failureDomain, peerAddress);
    return { name, failureDomain, process, callersUrl, peerAddress, operator };
  }

  async listInstance(name: string, failureDomain: string, peerAddress: string): Promise<void> {
    const body = JSON.stringify({ failureDomain, peerAddress });
    const answer = await request(`${this.list.url}/instances/${name}`, { method: 'PUT', body });
    await answer.body.dump();
  }

  /** Ends every process of the system. */
  async stop(): Promise<void> {
    this.processes.forEach((process) => process.signal('SIGKILL'));
    await Promise.all(this.processes.map((process) => process.exited));
    rmSync(this.directory, { recursive: true });
  }

  private settingsText(plan: InstancePlan): string {
    const more = (section: string) => plan.settings?.[section] ?? '';
    return `
[instance]
name = ${plan.name}
failure_domain = ${plan.failureDomain}
[listen]
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers = 127.0.0.1:${plan.peerPort ?? 0}
[platform]
log_url = ${this.log.url}
instance_list_url = ${this.list.url}
${more('platform')}
[operators]
token_sha256 = ${sha256Hex(TOKEN)}
[budgets]
failure_domains = ${this.domains.join(',')}
${more('budgets')}
[requests]
${more('requests')}
[roles]
${more('roles')}
[placement]
poll_interval_ms = 100
${more('placement')}
[shutdown]
balancer_lag_ms = 200
`;
  }

  private static async spawnStandin(kind: string, options: object): Promise<Standin> {
    const process = spawnNode(STANDIN, [kind, '--options', JSON.stringify(options)]);
    const [, url] = await process.waitFor(/ready (\S+)/);
    return { url, process };
  }
}

export default ProcessSystem;
