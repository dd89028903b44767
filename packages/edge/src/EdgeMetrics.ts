import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** The metrics of one instance. */
class EdgeMetrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: 'wisteriapath_edge_requests_total',
    help: 'Requests by route and outcome; the outcome is an error kind or a status class',
    labelNames: ['route', 'outcome'],
    registers: [this.registry],
  });

  readonly requestSeconds = new Histogram({
    name: 'wisteriapath_edge_request_seconds',
    help: 'Time from the arrival of a request to the end of its response',
    labelNames: ['route'],
    buckets: [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 20],
    registers: [this.registry],
  });

  readonly waitSeconds = new Histogram({
    name: 'wisteriapath_edge_wait_seconds',
    help: 'Time for which a request waited for a target',
    buckets: [0.001, 0.01, 0.05, 0.1, 0.5, 1, 2, 5, 10],
    registers: [this.registry],
  });

  readonly dispatched = new Counter({
    name: 'wisteriapath_edge_dispatched_total',
    help: 'Requests of deferring pools that were given a target, by priority (0 is the highest)',
    labelNames: ['pool', 'priority'],
    registers: [this.registry],
  });

  readonly earlyRefusals = new Counter({
    name: 'wisteriapath_edge_early_refusals_total',
    help: 'Requests of deferring pools that were refused because the placers expect their model later than their callers wait',
    labelNames: ['pool'],
    registers: [this.registry],
  });

  readonly exchanges = new Counter({
    name: 'wisteriapath_edge_exchanges_total',
    help: 'Exchanges with targets by outcome',
    labelNames: ['pool', 'end'],
    registers: [this.registry],
  });

  readonly gapMisses = new Counter({
    name: 'wisteriapath_edge_gap_misses_total',
    help: 'Streams of which a pause between two events exceeded the gap target of the route, where targets report how long work takes',
    labelNames: ['pool'],
    registers: [this.registry],
  });

  readonly streamsMoved = new Counter({
    name: 'wisteriapath_edge_streams_moved_total',
    help: 'Streams that were moved since their target had announced its end',
    labelNames: ['pool'],
    registers: [this.registry],
  });

  readonly scaleOrders = new Counter({
    name: 'wisteriapath_edge_scale_orders_total',
    help: 'Calls that ordered a number of engines, by answer of the platform',
    labelNames: ['pool', 'answer'],
    registers: [this.registry],
  });

  readonly coldSends = new Counter({
    name: 'wisteriapath_edge_cold_sends_total',
    help: 'Requests sent to targets that were known to be cold',
    labelNames: ['pool'],
    registers: [this.registry],
  });

  readonly coldHeldBack = new Counter({
    name: 'wisteriapath_edge_cold_held_back_total',
    help: 'Times a cold target was skipped because its rate limit was reached',
    labelNames: ['pool'],
    registers: [this.registry],
  });

  readonly peerReads = new Counter({
    name: 'wisteriapath_edge_peer_reads_total',
    help: 'Reads of missing records from peers by topic and outcome',
    labelNames: ['topic', 'outcome'],
    registers: [this.registry],
  });

  readonly closedConnections = new Counter({
    name: 'wisteriapath_edge_closed_connections_total',
    help: 'Connections of callers that were closed because of a limit, or as a request crossed their close, by reason',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  readonly unansweredRequests = new Counter({
    name: 'wisteriapath_edge_unanswered_requests_total',
    help: 'Requests that were read and whose callers, which had not left, got nothing or half of a response, by the reason why this instance ended the connection',
    labelNames: ['reason', 'got'],
    registers: [this.registry],
  });

  /** Registers a gauge whose value is read when the metrics are collected. */
  gauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `wisteriapath_edge_${name}`,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }
}

export default EdgeMetrics;
