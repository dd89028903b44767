import type { Dispatcher } from 'undici';
import type ConnectionUse from './ConnectionUse';

/** The options of a dispatch whose connection is to be known. Pools and agents pass them on as they are. */
interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
  readonly connectionUse?: ConnectionUse;
  /** The id that answers to this request repeat; left out if they repeat none. */
  readonly exchangeId?: string;
  /** Whether the request must go over a connection that has carried nothing before. */
  readonly needsNewConnection?: boolean;
}

export default TrackedDispatchOptions;
