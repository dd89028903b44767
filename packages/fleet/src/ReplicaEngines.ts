import type PlannedLoad from './PlannedLoad';
import type TargetView from './TargetView';
import type createModelContext from './createModelContext';

/** What a placer tells of its engines, and lets be done, when it decides on replicas in one planning pass. */
interface ReplicaEngines {
  /** Returns the engines that hold a model. */
  readonly holders: (model: string) => readonly TargetView[];
  readonly isLoading: (model: string) => boolean;
  /** Whether this placer orders an engine. */
  readonly isOwn: (view: TargetView) => boolean;
  /** Returns the failure domains with an active placer, this one included. */
  readonly activeDomains: () => readonly string[];
  /** Whether this placer is the one to make a decision that every placer in `domains` could make. */
  readonly isResponsible: (model: string, domains: readonly string[]) => boolean;
  /** Returns the context of planning on the engines of this placer. */
  readonly context: () => ReturnType<typeof createModelContext>;
  /** Returns the engines of other placers that have no change in progress. */
  readonly freeElsewhere: () => readonly TargetView[];
  /** Whether a load from the weight store may start without passing its rate. */
  readonly hasStoreCapacity: () => boolean;
  readonly execute: (plan: PlannedLoad) => void;
}

export default ReplicaEngines;
