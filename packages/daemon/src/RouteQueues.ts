import type { RouteQueue } from '@wisteriapath/placement';

/** The request queues of all routes that this instance has served, created on first use. */
class RouteQueues {
  private readonly queues = new Map<string, RouteQueue>();

  constructor(private readonly create: (routeName: string) => RouteQueue) {}

  /** Number of requests that wait for a slot on a target, over all routes. */
  get waitingCount(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.waitingCount, 0);
  }

  get(routeName: string): RouteQueue {
    const known = this.queues.get(routeName);
    if (known !== undefined) return known;
    const queue = this.create(routeName);
    this.queues.set(routeName, queue);
    return queue;
  }
}

export default RouteQueues;
