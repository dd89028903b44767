import type { Clock } from '@wisteriapath/model';
import { type DemandReport, WaitingRequests } from '@wisteriapath/fleet';
import type ModelRates from './ModelRates';
import type TargetLoads from './TargetLoads';

interface Dependencies {
  readonly clock: Clock;
  /** Address to which the placer replies. */
  readonly instance: string;
  readonly rates: ModelRates;
  readonly loads: TargetLoads;
  /** Returns the number of instances that report to the placer, including this one. */
  readonly instances: () => number;
  /** Sends a report to the placers, local or remote. */
  readonly send: (report: DemandReport) => void;
}

const REPORT_INTERVAL_MS = 100;
const RATES_INTERVAL_MS = 150;
/** Number of instances beyond which each reports less often, so that the load on placers stays bounded. */
const MAX_INSTANCES_AT_BASE_INTERVAL = 12;
/** Upper bounds of both intervals, below the age up to which placers use a report. */
const MAX_REPORT_INTERVAL_MS = 300;
const MAX_RATES_INTERVAL_MS = 1_000;
/** Targets in one report, of some 30 bytes each. They are reported as often as rates, however often requests begin to wait. */
const MAX_TARGET_ROWS = 16;

/** Reports to the placers which models the requests of this instance wait for and use. */
class DemandReporter {
  /** The requests that wait; a new one triggers a report. */
  readonly waiting: WaitingRequests;

  private timer: NodeJS.Timeout | undefined;

  private reportedAtMs = 0;

  private targetsReportedAtMs = -Infinity;

  private isReportScheduled = false;

  private isStopped = false;

  constructor(private readonly deps: Dependencies) {
    this.waiting = new WaitingRequests(deps.clock, () => this.scheduleReport());
  }

  /** Starts the periodic reports. */
  start(): void {
    if (this.isStopped) return;
    const intervalMs = Math.min(MAX_REPORT_INTERVAL_MS, REPORT_INTERVAL_MS * this.intervalFactor);
    this.timer = setTimeout(() => {
      // First, so that an error in a report does not end the reports.
      this.start();
      this.report();
    }, intervalMs);
  }

  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private get intervalFactor(): number {
    return Math.max(1, this.deps.instances() / MAX_INSTANCES_AT_BASE_INTERVAL);
  }

  /** Reports at once; requests that begin to wait in the same turn of the event loop share one report. */
  private scheduleReport(): void {
    if (this.isReportScheduled) return;
    this.isReportScheduled = true;
    setImmediate(() => {
      this.isReportScheduled = false;
      this.report();
    });
  }

  private report(): void {
    const waiting = this.waiting.demands;
    const unreachable = this.deps.loads.findUnreachable();
    const nowMs = this.deps.clock.nowMs();
    const ratesIntervalMs = Math.min(
      MAX_RATES_INTERVAL_MS,
      RATES_INTERVAL_MS * this.intervalFactor,
    );
    if (waiting.length === 0 && nowMs - this.reportedAtMs < ratesIntervalMs) return;
    this.reportedAtMs = nowMs;
    const { instance, rates, loads, send } = this.deps;
    const { running } = loads;
    const { deferrable: deferrableRates } = rates;
    const areTargetsDue = nowMs - this.targetsReportedAtMs >= ratesIntervalMs;
    const targets = areTargetsDue ? loads.pace.takeRows(MAX_TARGET_ROWS) : [];
    if (areTargetsDue) this.targetsReportedAtMs = nowMs;
    send({
      instance,
      waiting,
      rates: rates.all,
      ...(deferrableRates.length > 0 && { deferrableRates }),
      running,
      unreachable,
      ...(targets.length > 0 && { targets }),
    });
  }
}

export default DemandReporter;
