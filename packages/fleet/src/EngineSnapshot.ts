import type EngineRegistry from './EngineRegistry';

/** The state of a placer's engines at one moment. */
interface EngineSnapshot {
  readonly nowMs: number;
  /** Returns the state of an engine that this placer orders; `undefined` for those of other placers. */
  readonly engineOf: (id: string) => ReturnType<EngineRegistry['get']>;
}

export default EngineSnapshot;
