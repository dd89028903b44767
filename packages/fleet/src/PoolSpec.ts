import type EngineSpec from './EngineSpec';
import type ScalingSpec from './ScalingSpec';

/** A pool of targets, which register themselves. */
interface PoolSpec {
  readonly name: string;
  /** Connections that one target accepts from all instances together. */
  readonly maxConnections: number;
  /** Requests per second that a cold target can take; 0 if targets are never cold. */
  readonly coldPerS: number;
  /** Properties of the engines; `null` if the targets do not run models. */
  readonly engine: EngineSpec | null;
  /** Limits for the number of engines; `undefined` if it is not ours to change, `null` if what is stated is not usable. */
  readonly scaling?: ScalingSpec | null;
}

export default PoolSpec;
