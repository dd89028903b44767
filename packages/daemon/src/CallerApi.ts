import { randomUUID } from 'node:crypto';
import Router from '@koa/router';
import Koa, { type Context } from 'koa';
import type { Logger } from 'pino';
import { type Either, Left, Right } from 'purify-ts';
import {
  bearerSecret,
  checkCall,
  type CheckedCall,
  type ConfigView,
} from '@wisteriapath/admission';
import type { MemoryBudget } from '@wisteriapath/body-memory';
import { getRow, type Settings } from '@wisteriapath/config';
import type { WorkspaceBudget } from '@wisteriapath/ledger';
import {
  type Clock,
  Deadline,
  ErrorKind,
  ExecutionStatus,
  ServeError,
  sha256Hex,
  TableName,
} from '@wisteriapath/model';
import {
  type CallContext,
  type CompletionRequest,
  type HttpCall,
  ModelCall,
  parseCompletion,
  type ServiceCall,
} from '@wisteriapath/routing';
import KoaResponseSink from './KoaResponseSink';
import type Metrics from './Metrics';
import sendError from './sendError';
import selectForwardedHeaders from './selectForwardedHeaders';
import readBody from './readBody';

interface Parts {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly view: () => ConfigView;
  /** Whether the instance has caught up with the configuration and the roles. */
  readonly isReady: () => boolean;
  readonly isStopping: () => boolean;
  /** Number of requests that wait for a slot on a target. */
  readonly waitingCount: () => number;
  /** Memory for the bodies of callers' requests. */
  readonly bodyMemory: MemoryBudget;
  readonly budgetOf: (workspace: string) => WorkspaceBudget;
  readonly modelParts: ConstructorParameters<typeof ModelCall>[0];
  readonly serviceCall: ServiceCall;
}

const DEADLINE_HEADER = 'x-deadline-ms';
const REQUEST_ID_HEADER = 'x-request-id';
const MAX_DEADLINE_MS = 3_600_000;
const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'];
const SERVICE_PREFIX = '/services/';
const OK_OUTCOME = 'ok';

/** The name of the route that served the request, or the error that the caller gets. */
type Outcome = Either<ServeError, string>;

/** What is known of a request on its arrival, before its body is read. */
interface Arrival {
  readonly requestId: string;
  /** Monotonic time from which its deadline counts. */
  readonly atMs: number;
}

type Handler = (context: Context, arrival: Arrival) => Promise<Outcome>;

/** Returns the SHA-256 of the bearer key in hex, `null` if the request carries none. */
const presentedKeySha256 = (context: Context): string | null => {
  const secret = bearerSecret(context.get('authorization'));
  return secret === undefined ? null : sha256Hex(secret);
};

/** The HTTP API for callers: completions, the model list, services and health checks. */
class CallerApi {
  readonly app = new Koa();

  constructor(private readonly parts: Parts) {
    const router = new Router();
    router.post(COMPLETION_PATHS, (context) => this.handle(context, this.handleCompletion));
    router.get('/v1/models', (context) => this.handle(context, this.handleModelList));
    router.all(`${SERVICE_PREFIX}:route{/*path}`, (context) =>
      this.handle(context, this.handleServiceCall),
    );
    router.get('/healthz', (context) => {
      context.body = { ok: true };
    });
    router.get('/readyz', (context) => {
      const ready = parts.isReady() && !parts.isStopping();
      context.status = ready ? 200 : 503;
      context.body = { ready };
    });
    this.app.silent = true;
    this.app.use(router.routes());
  }

  /** Runs a handler, records metrics and sends the error response if the handler failed. */
  private async handle(context: Context, handler: Handler): Promise<void> {
    const requestId = randomUUID();
    const startedMs = this.parts.clock.nowMs();
    context.set(REQUEST_ID_HEADER, requestId);
    if (this.parts.isStopping()) context.set('connection', 'close');
    const result = await handler
      .call(this, context, { requestId, atMs: startedMs })
      .catch((error: Error): Outcome => {
        this.parts.logger.error({ requestId, reason: error.message }, 'request_failed');
        return Left(
          ServeError.maybeExecuted(ErrorKind.Internal, 'internal error in the entry instance'),
        );
      });
    const outcome = result.caseOf<string>({ Left: (error) => error.kind, Right: () => OK_OUTCOME });
    const durationMs = Math.round(this.parts.clock.nowMs() - startedMs);
    const route = result.orDefault('');
    this.parts.metrics.requests.inc({ route, outcome });
    this.parts.metrics.requestSeconds.observe({ outcome }, durationMs / 1_000);
    result.ifLeft((error) => {
      const { kind, ran, message } = error;
      this.parts.logger.info({ requestId, kind, ran, reason: message, durationMs }, 'refused');
      if (!context.res.headersSent && context.res.writable) sendError(context, requestId, error);
    });
  }

  private async handleModelList(context: Context): Promise<Either<ServeError, string>> {
    const keySha256 = presentedKeySha256(context);
    const view = this.parts.view();
    const names = [...view.state.tables[TableName.Routes].keys()];
    const allowed = names.filter((name) => checkCall(view, name, keySha256).isRight());
    const data = allowed.sort().map((id) => ({ id, object: 'model' }));
    context.body = { object: 'list', data };
    return Right('models');
  }

  private async handleCompletion(
    context: Context,
    arrival: Arrival,
  ): Promise<Either<ServeError, string>> {
    const { requests } = this.parts.settings;
    const body = await this.readBody(context);
    const parsed = body.chain((bytes) =>
      parseCompletion(context.path, bytes.toString('utf8'), requests.max_new_tokens),
    );
    if (parsed.isLeft()) return parsed.map(() => '');
    const { routeName, request } = parsed.unsafeCoerce();
    const created = this.createCallContext(context, arrival, routeName);
    if (created.isLeft()) return created.map(() => '');
    const call = created.unsafeCoerce();
    if (call.call.route.model === '') {
      return Left(
        ServeError.notExecuted(ErrorKind.UnknownRoute, `route ${routeName} is not a model`),
      );
    }
    const ended = await this.runModel(context, call, request);
    return ended.map(() => routeName);
  }

  /**
   * Runs a completion. For a caller that belongs to a workspace, reserves the most tokens that it can
   * use and settles the reservation with the tokens that it used.
   */
  private async runModel(
    context: Context,
    call: CallContext,
    request: CompletionRequest,
  ): Promise<Either<ServeError, void>> {
    const modelCall = new ModelCall(
      this.parts.modelParts,
      call,
      request,
      new KoaResponseSink(context),
    );
    const { workspace } = call.call.caller;
    if (workspace === null) return modelCall.run();
    const tokens = request.promptTokens + request.maxTokens;
    const { answer_margin_ms: marginMs } = this.parts.settings.requests;
    const budgetDeadline = call.deadline.earlierBy(marginMs);
    const reserved = await this.parts.budgetOf(workspace).reserve(tokens, budgetDeadline);
    if (reserved.isLeft()) return reserved.map(() => undefined);
    const ended = await modelCall.run();
    const hasNotRun = ended
      .swap()
      .map((error) => error.ran === ExecutionStatus.NotExecuted)
      .orDefault(false);
    reserved.unsafeCoerce().settle(hasNotRun ? 0 : modelCall.usedTokens);
    return ended;
  }

  private async handleServiceCall(
    context: Context,
    arrival: Arrival,
  ): Promise<Either<ServeError, string>> {
    const [routeName, ...rest] = context.url.slice(SERVICE_PREFIX.length).split(/(?=[/?])/);
    const created = this.createCallContext(context, arrival, routeName);
    if (created.isLeft()) return created.map(() => '');
    const call = created.unsafeCoerce();
    if (call.call.route.model !== '') {
      return Left(
        ServeError.notExecuted(ErrorKind.UnknownRoute, `route ${routeName} is not a service`),
      );
    }
    const body = await this.readBody(context);
    if (body.isLeft()) return body.map(() => '');
    const path = rest.join('');
    const http: HttpCall = {
      method: context.method,
      path: path.startsWith('/') ? path : `/${path}`,
      headers: selectForwardedHeaders(context.headers),
      body: body.unsafeCoerce(),
    };
    const ended = await this.parts.serviceCall.run(call, http, new KoaResponseSink(context));
    return ended.map(() => routeName);
  }

  private readBody(context: Context): Promise<Either<ServeError, Buffer>> {
    const { settings, bodyMemory: memory } = this.parts;
    return readBody(context, { maxBytes: settings.requests.max_body_bytes, memory });
  }

  /** Checks key and route, the number of waiting requests and the deadline header, in this order. */
  private createCallContext(
    context: Context,
    { requestId, atMs }: Arrival,
    routeName: string,
  ): Either<ServeError, CallContext> {
    const keySha256 = presentedKeySha256(context);
    const recheck = () => checkCall(this.parts.view(), routeName, keySha256);
    return recheck()
      .chain((call) => this.checkWaitingCapacity(call))
      .chain((call) =>
        this.parseDeadline(context, call, atMs).map((deadline) => ({
          requestId,
          call,
          deadline,
          weight: this.weightOf(call),
          recheck,
        })),
      );
  }

  /** Refuses the call once `requests.max_waiting` requests wait in this instance. */
  private checkWaitingCapacity(call: CheckedCall): Either<ServeError, CheckedCall> {
    if (this.parts.waitingCount() < this.parts.settings.requests.max_waiting) return Right(call);
    const message = 'too many requests are waiting in this instance';
    return Left(ServeError.notExecuted(ErrorKind.CannotFit, message));
  }

  /** Reads the deadline header, in milliseconds from the arrival; without it the route's default applies. */
  private parseDeadline(
    context: Context,
    call: CheckedCall,
    arrivedAtMs: number,
  ): Either<ServeError, Deadline> {
    const header = context.get(DEADLINE_HEADER);
    const durationMs = header === '' ? call.route.deadlineMs : Number(header);
    if (!Number.isInteger(durationMs) || durationMs < 0 || durationMs > MAX_DEADLINE_MS) {
      const message = `${DEADLINE_HEADER} must be a whole number of milliseconds`;
      return Left(ServeError.notExecuted(ErrorKind.BadRequest, message));
    }
    const { clock } = this.parts;
    const sinceArrivalMs = clock.nowMs() - arrivedAtMs;
    const deadline = Deadline.after(clock, durationMs).earlierBy(sinceArrivalMs);
    if (deadline.isExpired()) {
      return Left(ServeError.notExecuted(ErrorKind.DeadlineExpired, 'the deadline has passed'));
    }
    return Right(deadline);
  }

  /** Returns the scheduling weight of the caller's workspace, 1 if it has none. */
  private weightOf(call: CheckedCall): number {
    const { workspace } = call.caller;
    if (workspace === null) return 1;
    const row = getRow(this.parts.view().state, TableName.Workspaces, workspace);
    return row?.value.weight ?? 1;
  }
}

export default CallerApi;
