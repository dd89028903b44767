import type { Maybe } from 'purify-ts';
import type LoadReport from './LoadReport';
import type OrderResult from './OrderResult';
import type TargetOrder from './TargetOrder';

/** Reads the load reports of targets and sends orders to them; implemented once per protocol. */
interface TargetControl {
  /** Reads the report of a target; `Nothing` if it does not answer. Never rejects. */
  report(url: string): Promise<Maybe<LoadReport>>;
  /** Sends an order to a target. Never rejects. */
  order(url: string, order: TargetOrder): Promise<OrderResult>;
}

export default TargetControl;
