import type { Maybe } from 'purify-ts';
import type { InstanceAddress } from '@wisteriapath/model';

/** The platform's instance list. It lags; it says where peers are, never that one is dead. */
interface InstanceListPort {
  /** `Nothing` when the list cannot be reached. Never rejects. */
  list(): Promise<Maybe<readonly InstanceAddress[]>>;
}

export default InstanceListPort;
