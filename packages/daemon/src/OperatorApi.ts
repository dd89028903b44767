import Router from '@koa/router';
import Koa, { type Context, type Next } from 'koa';
import type { Logger } from 'pino';
import type { MemoryBudget } from '@wisteriapath/body-memory';
import { type Either, Left, Right } from 'purify-ts';
import { bearerSecret } from '@wisteriapath/admission';
import {
  type ConfigEdit,
  type ConfigState,
  EditKind,
  formatValidationError,
  parseRow,
  type Row,
} from '@wisteriapath/config';
import {
  appendUntilSettled,
  type LogPort,
  type RecordIds,
  OutcomeKind,
  type StreamReplica,
} from '@wisteriapath/log-client';
import {
  type Clock,
  Deadline,
  ErrorKind,
  ServeError,
  sha256Hex,
  TableName,
} from '@wisteriapath/model';
import type InstanceStatus from './InstanceStatus';
import type Metrics from './Metrics';
import sendError from './sendError';
import readBody from './readBody';

interface Parts {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Memory for the bodies of requests. */
  readonly bodyMemory: MemoryBudget;
  readonly log: LogPort;
  readonly ids: RecordIds;
  readonly config: StreamReplica<ConfigState>;
  readonly tokenSha256: string;
  readonly status: () => InstanceStatus;
  readonly explain: (route: string) => object | undefined;
  /**
   * Records an operator's confirmation that an instance is down. Resolves to false if the instance
   * holds no role or the log did not take the record.
   */
  readonly confirmDown: (name: string) => Promise<boolean>;
}

const EDIT_TIMEOUT_MS = 8_000;
const MAX_ROW_BYTES = 1_048_576;
const EDIT_ID_HEADER = 'x-edit-id';
const EDIT_ID_PATTERN = /^[\w:.-]{1,120}$/;
const TABLES = new Set<string>(Object.values(TableName));

const parseValue = (table: TableName, name: string, bytes: Buffer): Either<ServeError, unknown> => {
  try {
    const value: unknown = JSON.parse(bytes.toString('utf8'));
    return parseRow(table, table, name, value).mapLeft((faults) =>
      ServeError.notExecuted(ErrorKind.InvalidRow, faults.map(formatValidationError).join('; ')),
    );
  } catch {
    return Left(ServeError.notExecuted(ErrorKind.BadRequest, 'the body is not valid JSON'));
  }
};

/**
 * Reads the row version that an edit expects from `If-Match`, or 0 from `If-None-Match: *` for a row
 * that must not exist yet.
 */
const parseExpectedVersion = (context: Context): Either<ServeError, number> => {
  if (context.get('if-none-match') === '*') return Right(0);
  const match = /^"?(\d+)"?$/.exec(context.get('if-match'));
  if (match !== null) return Right(Number(match[1]));
  const message = 'send the row version in If-Match, or If-None-Match: * for a new row';
  return Left(ServeError.notExecuted(ErrorKind.VersionRequired, message));
};

const sendRow = (context: Context, table: TableName, name: string, row: Row): void => {
  context.set('etag', `"${row.version}"`);
  context.body = { table, name, ...row };
};

/** The administration API: metrics, status, confirmations and edits of the configuration. */
class OperatorApi {
  readonly app = new Koa();

  constructor(private readonly parts: Parts) {
    const router = new Router();
    router.get('/metrics', async (context) => {
      context.type = 'text/plain';
      context.body = await parts.metrics.registry.metrics();
    });
    router.use('/admin', (context, next) => this.authorize(context, next));
    router.get('/admin/status', (context) => {
      context.body = parts.status();
    });
    router.get('/admin/explain/:route', (context) => {
      const explained = parts.explain(context.params.route);
      if (explained === undefined) this.sendNotFound(context, 'there is no such route');
      else context.body = explained;
    });
    router.post('/admin/instances/:name/confirm-down', async (context) => {
      const { name } = context.params;
      if (await parts.confirmDown(name)) context.body = { name };
      else this.sendNotFound(context, `no role is held by ${name}, or the log cannot be reached`);
    });
    router.get('/admin/:table', (context) => this.listRows(context));
    router.get('/admin/:table/:name', (context) => this.getRow(context));
    router.put('/admin/:table/:name', (context) => this.putRow(context));
    router.delete('/admin/:table/:name', (context) => this.removeRow(context));
    this.app.silent = true;
    this.app.use(router.routes());
  }

  private async authorize(context: Context, next: Next): Promise<void> {
    const secret = bearerSecret(context.get('authorization')) ?? '';
    if (sha256Hex(secret) === this.parts.tokenSha256) await next();
    else this.refuse(context, ErrorKind.Unauthenticated, 'the operator token is missing or wrong');
  }

  private refuse(context: Context, kind: ErrorKind, message: string): void {
    sendError(context, this.parts.ids.next(), ServeError.notExecuted(kind, message));
  }

  private sendNotFound(context: Context, message: string): void {
    this.refuse(context, ErrorKind.NotFound, message);
  }

  /** Returns the table named in the path; answers `not found` and returns undefined if there is none. */
  private findTable(context: Context): TableName | undefined {
    const { table } = context.params as { table: string };
    if (TABLES.has(table)) return table as TableName;
    this.refuse(context, ErrorKind.NotFound, `there is no table ${table}`);
    return undefined;
  }

  private listRows(context: Context): void {
    const table = this.findTable(context);
    if (table === undefined) return;
    const rows = this.parts.config.state.tables[table];
    const offset = this.parts.config.nextOffset;
    context.body = { table, offset, rows: Object.fromEntries(rows.sortBy((_row, name) => name)) };
  }

  private getRow(context: Context): void {
    const table = this.findTable(context);
    if (table === undefined) return;
    const { name } = context.params as { name: string };
    const row = this.parts.config.state.tables[table].get(name);
    if (row === undefined) this.refuse(context, ErrorKind.NotFound, `${table}: no row ${name}`);
    else sendRow(context, table, name, row);
  }

  private async putRow(context: Context): Promise<void> {
    const table = this.findTable(context);
    if (table === undefined) return;
    const { name } = context.params as { name: string };
    const body = await readBody(context, {
      maxBytes: MAX_ROW_BYTES,
      memory: this.parts.bodyMemory,
    });
    const edit = body
      .chain((bytes) => parseValue(table, name, bytes))
      .chain((value) =>
        parseExpectedVersion(context).map((expectedVersion) => ({
          kind: EditKind.Set,
          table,
          name,
          expectedVersion,
          value,
        })),
      );
    await this.submitEdit(context, edit);
  }

  private async removeRow(context: Context): Promise<void> {
    const table = this.findTable(context);
    if (table === undefined) return;
    const { name } = context.params as { name: string };
    const edit = parseExpectedVersion(context).map((expectedVersion) => ({
      kind: EditKind.Remove,
      table,
      name,
      expectedVersion,
    }));
    await this.submitEdit(context, edit);
  }

  /** Appends an edit to the log and answers with its outcome once that is settled. */
  private async submitEdit(
    context: Context,
    parsedEdit: Either<ServeError, ConfigEdit>,
  ): Promise<void> {
    if (parsedEdit.isLeft()) {
      sendError(context, this.parts.ids.next(), parsedEdit.extract());
      return;
    }
    const edit = parsedEdit.unsafeCoerce();
    const givenEditId = context.get(EDIT_ID_HEADER);
    if (givenEditId !== '' && !EDIT_ID_PATTERN.test(givenEditId)) {
      this.refuse(context, ErrorKind.BadRequest, `${EDIT_ID_HEADER} is not valid`);
      return;
    }
    const editId = givenEditId === '' ? this.parts.ids.next() : givenEditId;
    const { log, clock, config } = this.parts;
    const deadline = Deadline.after(clock, EDIT_TIMEOUT_MS);
    const settled = await appendUntilSettled({ log, clock }, config, editId, edit, deadline);
    const { kind, table, name } = edit;
    this.parts.logger.info({ editId, kind, table, name, result: settled.kind }, 'edit');
    context.set(EDIT_ID_HEADER, editId);
    this.sendEditResult(context, edit, editId, settled.kind);
  }

  private sendEditResult(
    context: Context,
    edit: ConfigEdit,
    editId: string,
    kind: OutcomeKind,
  ): void {
    const { table, name } = edit;
    const row = this.parts.config.state.tables[table].get(name);
    const responders: Readonly<Record<OutcomeKind, () => void>> = {
      [OutcomeKind.Accepted]: () => {
        if (row !== undefined) context.set('etag', `"${row.version}"`);
        context.body = { table, name, editId, version: row?.version ?? null };
        (context.body as { offset?: number }).offset = this.parts.config.nextOffset;
      },
      [OutcomeKind.Rejected]: () => {
        const current = row === undefined ? 'does not exist' : `is at version ${row.version}`;
        const message = `${table}: ${name} ${current}, the edit expected ${edit.expectedVersion}`;
        this.refuse(context, ErrorKind.VersionConflict, message);
        if (row !== undefined) context.set('etag', `"${row.version}"`);
      },
      [OutcomeKind.NotWritten]: () => {
        const message = 'the log cannot be reached; the edit was not made';
        this.refuse(context, ErrorKind.LogUnavailable, message);
      },
      [OutcomeKind.Unknown]: () => {
        const message = `it is not known whether the edit was made; repeat it with ${EDIT_ID_HEADER}: ${editId}`;
        this.refuse(context, ErrorKind.EditUnknown, message);
      },
    };
    responders[kind]();
  }
}

export default OperatorApi;
