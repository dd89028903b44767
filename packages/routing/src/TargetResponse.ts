import type { Dispatcher } from 'undici';

/** A response of a target whose headers have arrived. */
interface TargetResponse {
  readonly data: Dispatcher.ResponseData;
  /** Once the body has been read: whether only its connection ended it, and that was not closed in order. */
  wasBrokenOff(): boolean;
}

export default TargetResponse;
