import type { IncomingMessage } from 'node:http';
import type EndReason from './EndReason';
import type ReceivedPart from './ReceivedPart';

/** A request that a server has read, and whose caller got no whole answer though it had not left. */
interface UnansweredRequest {
  readonly request: IncomingMessage;
  readonly reason: EndReason;
  /** What the place that ended the connection says of it; may be empty. */
  readonly detail: string;
  readonly got: ReceivedPart;
  /** Time since the head of the request was read. */
  readonly tookMs: number;
  /** Requests of the connection that were under way, this one too. */
  readonly underWay: number;
}

export default UnansweredRequest;
