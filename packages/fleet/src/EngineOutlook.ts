import type EngineDesk from './EngineDesk';

/** What a placer knows of its engines at one moment. */
interface EngineOutlook {
  readonly nowMs: number;
  /** An engine that this placer has met; undefined for those of others. */
  readonly engineOf: (id: string) => ReturnType<EngineDesk['get']>;
}

export default EngineOutlook;
