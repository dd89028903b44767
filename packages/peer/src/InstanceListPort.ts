import type { Maybe } from 'purify-ts';
import type { InstanceAddress } from '@wisteriapath/model';

/** The platform's instance list. It lags: it tells where peers are, but never that one is dead. */
interface InstanceListPort {
  /** Reads the list; resolves to `Nothing` when it cannot be reached. Never rejects. */
  list(): Promise<Maybe<readonly InstanceAddress[]>>;
}

export default InstanceListPort;
