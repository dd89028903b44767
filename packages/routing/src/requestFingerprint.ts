import { sha256Hex } from '@wisteriapath/model';
import type CallContext from './CallContext';

/**
 * Names a request's content across attempts, repeats and instances.
 *
 * @example
 * poison.verdict(requestFingerprint(context, body));
 */
const requestFingerprint = (context: CallContext, body: Buffer): string => {
  const { caller, routeName } = context.call;
  return sha256Hex(Buffer.concat([Buffer.from(`${caller.workspace}\n${routeName}\n`), body]));
};

export default requestFingerprint;
