import type { RequestClass } from '@wisteriapath/model';

/** The properties of a waiting request that determine the order of service. */
interface QueueItem {
  readonly workspace: string;
  /** Weight of the workspace in fair queueing. */
  readonly weight: number;
  readonly requestClass: RequestClass;
  /** Deadline on the monotonic clock, in milliseconds. */
  readonly deadlineAtMs: number;
  /** Work of the request, in tokens. */
  readonly cost: number;
}

export default QueueItem;
