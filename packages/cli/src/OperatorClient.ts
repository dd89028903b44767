import { request } from 'undici';
import CommandError from './CommandError';
import ExitCode from './ExitCode';

/** What an instance reports about itself and the system. */
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

/** A row of a table as it is in force. */
interface Row {
  readonly version: number;
  readonly value: Record<string, unknown>;
}

/** The row's new version, `null` after a removal, and the log offset of the edit. */
interface EditResult {
  readonly version: number | null;
  readonly offset: number;
}

interface ErrorBody {
  readonly error?: { readonly kind: string; readonly message: string };
}

const NOT_FOUND = 404;
/** The lowest HTTP status that reports an error. */
const FIRST_ERROR = 400;
const PRECONDITION_FAILED = 412;

/**
 * A client of the administration API of one instance. Every method throws a `CommandError` if the instance
 * cannot be reached or answers with an error: `ExitCode.Conflict` on HTTP 412, else `ExitCode.Failed`.
 */
class OperatorClient {
  constructor(
    private readonly url: string,
    private readonly token: string,
  ) {}

  async status(): Promise<Status> {
    return (await this.call('GET', '/admin/status')) as Status;
  }

  /** Returns where a request for a route would go now, and why. */
  async explain(route: string): Promise<unknown> {
    return this.call('GET', `/admin/explain/${route}`);
  }

  /** Declares that an instance is down, so that others may take over what it holds. */
  async confirmDown(instance: string): Promise<void> {
    await this.call('POST', `/admin/instances/${instance}/confirm-down`);
  }

  async rows(table: string): Promise<Record<string, Row>> {
    const { rows } = (await this.call('GET', `/admin/${table}`)) as { rows: Record<string, Row> };
    return rows;
  }

  /** Returns a row, or `undefined` if there is none of this name. */
  async row(table: string, name: string): Promise<Row | undefined> {
    const found = await this.call('GET', `/admin/${table}/${name}`, {}, undefined, [NOT_FOUND]);
    return (found as Partial<Row>).version === undefined ? undefined : (found as Row);
  }

  /** Sets a row whose current version is `version`; 0 creates a row. */
  async set(table: string, name: string, version: number, value: unknown): Promise<EditResult> {
    const body = JSON.stringify(value);
    const headers = OperatorClient.preconditionHeaders(version);
    return (await this.call('PUT', `/admin/${table}/${name}`, headers, body)) as EditResult;
  }

  /** Removes a row whose current version is `version`. */
  async remove(table: string, name: string, version: number): Promise<EditResult> {
    const headers = OperatorClient.preconditionHeaders(version);
    return (await this.call('DELETE', `/admin/${table}/${name}`, headers)) as EditResult;
  }

  private static preconditionHeaders(version: number): Record<string, string> {
    return version === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${version}"` };
  }

  private async call(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    headers: Record<string, string> = {},
    body?: string,
    accepted: readonly number[] = [],
  ): Promise<unknown> {
    const response = await request(`${this.url}${path}`, {
      method,
      headers: { ...headers, authorization: `Bearer ${this.token}` },
      body,
    }).catch((error: Error) => {
      throw new CommandError(`${this.url}: ${error.message}`, ExitCode.Failed);
    });
    const parsed = (await response.body.json().catch(() => ({}))) as ErrorBody;
    if (response.statusCode < FIRST_ERROR || accepted.includes(response.statusCode)) return parsed;
    const code = response.statusCode === PRECONDITION_FAILED ? ExitCode.Conflict : ExitCode.Failed;
    throw new CommandError(parsed.error?.message ?? `HTTP ${response.statusCode}`, code);
  }
}

export default OperatorClient;
