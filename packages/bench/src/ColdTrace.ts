import type { Route } from '@wisteriapath/model';

/** A trace of requests for rarely used models. */
interface ColdTrace {
  readonly routes: ReadonlyMap<string, Route>;
  /** Requests in the order of their arrival. */
  readonly requests: readonly {
    readonly atMs: number;
    readonly route: string;
    /** Index of the instance that receives the request. */
    readonly instance: number;
    /** Processing time on the engine. */
    readonly serviceMs: number;
  }[];
}

export default ColdTrace;
