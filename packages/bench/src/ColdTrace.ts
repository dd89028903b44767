import type { Route } from '@wisteriapath/model';

/** Requests for rarely used models, in the order of their arrival. */
interface ColdTrace {
  readonly routes: ReadonlyMap<string, Route>;
  readonly requests: readonly {
    readonly atMs: number;
    readonly route: string;
    /** Index of the instance that it reaches. */
    readonly instance: number;
    /** Time on the engine. */
    readonly serviceMs: number;
  }[];
}

export default ColdTrace;
