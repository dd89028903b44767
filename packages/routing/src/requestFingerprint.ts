import { sha256Hex } from '@wisteriapath/model';
import type CallContext from './CallContext';

/**
 * Returns a hash of a request's workspace, route and body, which is the same for every attempt,
 * repeat and instance.
 *
 * @example
 * poison.statusOf(requestFingerprint(context, body));
 */
const requestFingerprint = (context: CallContext, body: Buffer): string => {
  const { caller, routeName } = context.call;
  return sha256Hex(Buffer.concat([Buffer.from(`${caller.workspace}\n${routeName}\n`), body]));
};

export default requestFingerprint;
