import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** The Prometheus metrics of one instance. */
class Metrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: 'wisteriapath_requests_total',
    help: 'Requests by route and outcome; the outcome is an error kind or ok',
    labelNames: ['route', 'outcome'],
    registers: [this.registry],
  });

  readonly requestSeconds = new Histogram({
    name: 'wisteriapath_request_seconds',
    help: 'Time from the arrival of a request to the end of its response',
    labelNames: ['outcome'],
    buckets: [0.005, 0.02, 0.05, 0.1, 0.3, 1, 2, 5, 15, 60],
    registers: [this.registry],
  });

  readonly unansweredRequests = new Counter({
    name: 'wisteriapath_unanswered_requests_total',
    help: 'Requests that were read and whose callers, which had not left, got nothing or half of a response, by the reason why this instance ended the connection',
    labelNames: ['reason', 'got'],
    registers: [this.registry],
  });

  readonly closedConnections = new Counter({
    name: 'wisteriapath_closed_connections_total',
    help: 'Connections of callers that were closed because of a limit, by the limit',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  readonly placementDecisions = new Counter({
    name: 'wisteriapath_placement_decisions_total',
    help: 'Loads and unloads decided by this instance as a placer',
    labelNames: ['kind', 'reason'],
    registers: [this.registry],
  });

  /** Adds the gauge `wisteriapath_<name>`, whose value is read when metrics are collected. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `wisteriapath_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }
}

export default Metrics;
