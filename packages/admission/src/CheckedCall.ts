import type { Pool, Route } from '@wisteriapath/model';
import type Caller from './Caller';

/** A call that passed authentication and authorization, with its route and pool. */
interface CheckedCall {
  readonly caller: Caller;
  readonly routeName: string;
  readonly route: Route;
  readonly pool: Pool;
}

export default CheckedCall;
