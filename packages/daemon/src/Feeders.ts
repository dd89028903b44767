import type { RouteQueue } from '@wisteriapath/placement';

/** The feeders of the routes in use. */
class Feeders {
  private readonly feeders = new Map<string, RouteQueue>();

  constructor(private readonly create: (routeName: string) => RouteQueue) {}

  /** Requests that wait for a target. */
  get waiting(): number {
    return [...this.feeders.values()].reduce((sum, feeder) => sum + feeder.waitingCount, 0);
  }

  of(routeName: string): RouteQueue {
    const known = this.feeders.get(routeName);
    if (known !== undefined) return known;
    const feeder = this.create(routeName);
    this.feeders.set(routeName, feeder);
    return feeder;
  }
}

export default Feeders;
