import type EngineOrder from './EngineOrder';
import type EngineReport from './EngineReport';
import type EngineRuns from './EngineRuns';
import type OrderAnswer from './OrderAnswer';
import type RegisteredTarget from './RegisteredTarget';

/** A client that sends orders to engines and reads their reports. Its promises never reject. */
interface EngineControl {
  /** Sends one order; resolves with `Unknown` if the engine did not answer. */
  order(target: RegisteredTarget, order: EngineOrder): Promise<OrderAnswer>;
  /** Reads the report of an engine; resolves with `undefined` if the engine did not answer. */
  report(target: RegisteredTarget): Promise<EngineReport | undefined>;
  /** Asks an engine which requests it works on. */
  runs(target: RegisteredTarget): Promise<EngineRuns>;
}

export default EngineControl;
