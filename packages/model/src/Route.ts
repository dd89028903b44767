import type RequestClass from './RequestClass';
import type RouteKind from './RouteKind';

/** A row of the routes table: a model, adapter or service, and who may call it. */
interface Route {
  readonly kind: RouteKind;
  /** Name of the model that serves the route; empty for services. */
  readonly model: string;
  /** Accelerator memory of the model; 0 for services. */
  readonly modelMb: number;
  /** Name of the adapter to apply to the model, or `null`. */
  readonly adapter: string | null;
  /** Accelerator memory of the adapter. */
  readonly adapterMb: number;
  /** Name of the pool whose targets serve the route. */
  readonly pool: string;
  /** Workspaces that may call the route; ignored if `open` is set. */
  readonly workspaces: readonly string[];
  /** Whether the route can be called without an API key. */
  readonly open: boolean;
  /** Whether a request may be executed more than once. */
  readonly idempotent: boolean;
  readonly requestClass: RequestClass;
  /** Deadline of requests that do not set one. */
  readonly deadlineMs: number;
  /** How long known API keys are accepted while the configuration cannot be refreshed. */
  readonly staleKeysLimitS: number;
}

export default Route;
