import type DemandSnapshot from './DemandSnapshot';
import type EngineSpec from './EngineSpec';
import type EngineSpeeds from './EngineSpeeds';

/** The input of one planning pass over one pool. */
interface PlanningPass {
  readonly pool: string;
  /** Whether models are loaded in the order of `compareWaiting`. */
  readonly isDeferring: boolean;
  readonly engine: EngineSpec;
  readonly demand: DemandSnapshot;
  /** The speeds of the engines; undefined if none was reported. */
  readonly speeds: EngineSpeeds | undefined;
  /** What the best load is worth that needs only a copy, one that is under way included. */
  readonly bestCopyWorth: number;
  /** Loads from the weight store that may still start, at engines of any placer. */
  storeSlots: number;
  /** Engines of other placers that are expected to be given a load that was found in this pass. */
  readonly taken: Set<string>;
}

export default PlanningPass;
