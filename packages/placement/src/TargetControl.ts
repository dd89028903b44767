import type { Maybe } from 'purify-ts';
import type LoadReport from './LoadReport';
import type OrderResult from './OrderResult';
import type TargetOrder from './TargetOrder';

/** Orders to targets and their load reports. Another protocol costs one implementation of this. */
interface TargetControl {
  /** `Nothing` if the target does not answer. Never rejects. */
  report(url: string): Promise<Maybe<LoadReport>>;
  /** Never rejects. */
  order(url: string, order: TargetOrder): Promise<OrderResult>;
}

export default TargetControl;
