import type { RequestClass } from '@wisteriapath/model';

/** What the order of service depends on. */
interface QueueItem {
  readonly workspace: string;
  /** The workspace's share. */
  readonly weight: number;
  readonly requestClass: RequestClass;
  /** Deadline on the monotonic clock. */
  readonly deadlineAtMs: number;
  /** Work of the request, in tokens. */
  readonly cost: number;
}

export default QueueItem;
