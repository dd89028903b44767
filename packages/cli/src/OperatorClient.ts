import { request } from 'undici';
import CommandError from './CommandError';
import ExitCode from './ExitCode';

interface Status {
  readonly instance: string;
  readonly failureDomain: string;
  readonly ready: boolean;
  readonly configOffset: number;
  readonly peers: readonly {
    readonly name: string;
    readonly failureDomain: string;
    readonly configOffset: number | null;
    readonly silentMs: number | null;
  }[];
  readonly roles: readonly {
    readonly role: string;
    readonly holder: string;
    readonly epoch: number;
    readonly reason: string;
  }[];
  readonly targets: readonly {
    readonly name: string;
    readonly usable: boolean;
    readonly window: number;
    readonly slotsTaken: number;
    readonly assets: readonly { readonly id: string; readonly phase: string }[];
  }[];
}

interface Row {
  readonly version: number;
  readonly value: Record<string, unknown>;
}

interface Edited {
  readonly version: number | null;
  readonly offset: number;
}

interface ErrorBody {
  readonly error?: { readonly kind: string; readonly message: string };
}

const NOT_FOUND = 404;
const FIRST_ERROR = 400;
const CONFLICT = 412;

/** Calls the administration API of one instance. */
class OperatorClient {
  constructor(
    private readonly url: string,
    private readonly token: string,
  ) {}

  async status(): Promise<Status> {
    return (await this.call('GET', '/admin/status')) as Status;
  }

  async explain(route: string): Promise<unknown> {
    return this.call('GET', `/admin/explain/${route}`);
  }

  async confirmDown(instance: string): Promise<void> {
    await this.call('POST', `/admin/instances/${instance}/confirm-down`);
  }

  async rows(table: string): Promise<Record<string, Row>> {
    const { rows } = (await this.call('GET', `/admin/${table}`)) as { rows: Record<string, Row> };
    return rows;
  }

  async row(table: string, name: string): Promise<Row | undefined> {
    const found = await this.call('GET', `/admin/${table}/${name}`, {}, undefined, [NOT_FOUND]);
    return (found as Partial<Row>).version === undefined ? undefined : (found as Row);
  }

  /** Sets a row that is at `version`, 0 for a new one. */
  async set(table: string, name: string, version: number, value: unknown): Promise<Edited> {
    const body = JSON.stringify(value);
    const headers = OperatorClient.condition(version);
    return (await this.call('PUT', `/admin/${table}/${name}`, headers, body)) as Edited;
  }

  async remove(table: string, name: string, version: number): Promise<Edited> {
    const headers = OperatorClient.condition(version);
    return (await this.call('DELETE', `/admin/${table}/${name}`, headers)) as Edited;
  }

  private static condition(version: number): Record<string, string> {
    return version === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${version}"` };
  }

  private async call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    headers: Record<string, string> = {},
    body?: string,
    allowed: readonly number[] = [],
  ): Promise<unknown> {
    const answer = await request(`${this.url}${path}`, {
      method,
      headers: { ...headers, authorization: `Bearer ${this.token}` },
      body,
    }).catch((error: Error) => {
      throw new CommandError(`${this.url}: ${error.message}`, ExitCode.Failed);
    });
    const parsed = (await answer.body.json().catch(() => ({}))) as ErrorBody;
    if (answer.statusCode < FIRST_ERROR || allowed.includes(answer.statusCode)) return parsed;
    const code = answer.statusCode === CONFLICT ? ExitCode.Conflict : ExitCode.Failed;
    throw new CommandError(parsed.error?.message ?? `HTTP ${answer.statusCode}`, code);
  }
}

export default OperatorClient;
