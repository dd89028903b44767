import type TargetView from './TargetView';
import type WaitingModel from './WaitingModel';

/** A plan to load a model or adapter on an engine, with the evictions that it needs. */
interface PlannedLoad {
  /** The engine. */
  readonly view: TargetView;
  readonly model: string;
  readonly adapter: string | null;
  /** Models, or adapters of models, to unload first. */
  readonly evictions: readonly { readonly model: string; readonly adapter: string | null }[];
  /** Expected duration of the load. */
  readonly expectedMs: number;
  /** Whether the weights come from the weight store. */
  readonly fromStore: boolean;
  /** Reason for the load, for the log. */
  readonly reason: string;
  /** How urgent it is, for the log; only for a waiting model of a deferring pool. */
  readonly order?: WaitingModel['order'];
}

export default PlannedLoad;
