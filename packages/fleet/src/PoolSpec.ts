import type EngineSpec from './EngineSpec';

/** A pool of targets, which register themselves. */
interface PoolSpec {
  readonly name: string;
  /** Connections that one target accepts from all instances together. */
  readonly maxConnections: number;
  /** Requests per second that a cold target can take; 0 if targets are never cold. */
  readonly coldPerS: number;
  /** Properties of the engines; `null` if the targets do not run models. */
  readonly engine: EngineSpec | null;
}

export default PoolSpec;
