import type RequestClass from './RequestClass';
import type RouteKind from './RouteKind';

/** One row of the routes table: a model, adapter or service and who may call it. */
interface Route {
  readonly kind: RouteKind;
  /** Model that serves the route; empty for services. */
  readonly model: string;
  /** Accelerator memory that the model takes; 0 for services. */
  readonly modelMb: number;
  /** Adapter on top of the model, or `null`. */
  readonly adapter: string | null;
  /** Accelerator memory that the adapter takes. */
  readonly adapterMb: number;
  /** Name of the pool that carries the work. */
  readonly pool: string;
  /** Workspaces that may call the route; ignored when `open`. */
  readonly workspaces: readonly string[];
  /** Open routes need no key. */
  readonly open: boolean;
  /** Whether a request may be run more than once. */
  readonly idempotent: boolean;
  readonly requestClass: RequestClass;
  /** Deadline of requests that state none. */
  readonly deadlineMs: number;
  /** How long known keys are served without a fresh view of the configuration. */
  readonly staleKeysLimitS: number;
}

export default Route;
