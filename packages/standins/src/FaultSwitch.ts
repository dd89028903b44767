import type { Middleware } from 'koa';
import { systemClock } from '@wisteriapath/model';
import FaultKind from './FaultKind';
import readText from './readText';

interface Fault {
  readonly kind: FaultKind;
  readonly delayMs: number;
  /** Number of requests that the fault still applies to; -1 for no limit. */
  readonly remaining: number;
  /** Restricts the fault to requests with this method. */
  readonly method?: string;
  /** Restricts the fault to requests whose path contains this text. */
  readonly path?: string;
}

type Handler = (
  context: Parameters<Middleware>[0],
  next: () => Promise<unknown>,
  fault: Fault,
) => Promise<void>;

const NO_FAULT: Fault = { kind: FaultKind.None, delayMs: 0, remaining: -1 };
const UNAVAILABLE = 503;
const CONTROL_PATHS = new Set(['/faults', '/state']);

const breakConnection = (context: Parameters<Middleware>[0]) => {
  context.respond = false;
  context.req.socket.destroy();
};

const HANDLERS: Readonly<Record<FaultKind, Handler>> = {
  [FaultKind.None]: async (_context, next) => {
    await next();
  },
  [FaultKind.Slow]: async (_context, next, fault) => {
    await systemClock.sleep(fault.delayMs);
    await next();
  },
  [FaultKind.Refuse]: async (context) => {
    context.status = UNAVAILABLE;
    context.body = { error: 'refused by an injected fault' };
  },
  [FaultKind.Down]: async (context) => breakConnection(context),
  [FaultKind.LoseResponse]: async (context, next) => {
    await next();
    breakConnection(context);
  },
  [FaultKind.Silent]: async (context) => {
    context.respond = false;
  },
  [FaultKind.LateEffect]: async (context, next, fault) => {
    context.state.rawBody = await readText(context);
    const delayedEffect = systemClock.sleep(fault.delayMs).then(next);
    void delayedEffect.then(() => breakConnection(context));
    context.respond = false;
    await delayedEffect;
  },
};

const matches = (fault: Fault, context: Parameters<Middleware>[0]): boolean =>
  fault.remaining !== 0 &&
  (fault.method === undefined || fault.method === context.method) &&
  (fault.path === undefined || context.path.includes(fault.path));

/** The fault injected into a stand-in, and the middleware that simulates it. */
class FaultSwitch {
  private fault = NO_FAULT;

  /** Replaces the fault; without a kind, no fault applies. */
  set(fault: Partial<Fault>): void {
    this.fault = { ...NO_FAULT, ...fault };
  }

  readonly middleware: Middleware = async (context, next) => {
    const { fault } = this;
    const applies = matches(fault, context);
    if (CONTROL_PATHS.has(context.path) || !applies) {
      await next();
      return;
    }
    if (fault.remaining > 0) this.fault = { ...fault, remaining: fault.remaining - 1 };
    await HANDLERS[fault.kind](context, next, fault);
  };
}

export default FaultSwitch;
