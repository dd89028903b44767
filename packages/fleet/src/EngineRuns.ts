import type EngineContact from './EngineContact';

/** What an engine says of the requests that it works on. */
interface EngineRuns {
  readonly contact: EngineContact;
  /** Attempt ids of the requests that are running; undefined if the engine does not list them. */
  readonly ids?: ReadonlySet<string>;
  /** Number of requests at the engine that the list leaves out, such as those that wait. */
  readonly unlisted: number;
}

export default EngineRuns;
