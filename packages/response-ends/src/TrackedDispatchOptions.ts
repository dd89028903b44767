import type { Dispatcher } from 'undici';
import type ConnectionUse from './ConnectionUse';

/** The options of a dispatch whose connection is to be known. Pools and agents pass them on as they are. */
interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
  readonly connectionUse?: ConnectionUse;
}

export default TrackedDispatchOptions;
