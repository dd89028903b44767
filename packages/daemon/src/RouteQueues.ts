import type { RouteQueue } from '@wisteriapath/placement';

/** The queues of the routes in use. */
class RouteQueues {
  private readonly queues = new Map<string, RouteQueue>();

  constructor(private readonly create: (routeName: string) => RouteQueue) {}

  /** Requests that wait for a target. */
  get waitingCount(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.waitingCount, 0);
  }

  of(routeName: string): RouteQueue {
    const known = this.queues.get(routeName);
    if (known !== undefined) return known;
    const queue = this.create(routeName);
    this.queues.set(routeName, queue);
    return queue;
  }
}

export default RouteQueues;
