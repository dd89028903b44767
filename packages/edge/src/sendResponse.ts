import type CallerExchange from './CallerExchange';
import type KeptResponse from './KeptResponse';

/**
 * Passes a complete response of a target on to the caller.
 *
 * @example
 * sendResponse(caller, { status: 200, headers: {}, body: new ByteAccumulator() });
 */
const sendResponse = (caller: CallerExchange, { status, headers, body }: KeptResponse): void => {
  caller.start(status, headers);
  caller.end(body);
};

export default sendResponse;
