import { request } from 'undici';
import { readBytes } from '@wisteriapath/byte-accumulator';
import type { Clock } from '@wisteriapath/model';
import {
  comparePositions,
  type EventLog,
  type Heartbeat,
  heartbeatEnds,
  type RecordSpan,
  recordSpanCodec,
  type StorePosition,
  StoreTopic,
} from '@wisteriapath/fleet';
import { createTrackedAgent } from '@wisteriapath/response-ends';
import type EdgeMetrics from './EdgeMetrics';
import type StoreView from './StoreView';

interface Dependencies {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: EdgeMetrics;
  readonly view: StoreView;
}

/** Time in which this instance's own read of the store, or a relay, may still bring the records. */
const READ_DELAY_MS = 100;
const READ_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 500;
const MAX_RESPONSE_BYTES = 16 * 1_024 * 1_024;
const OK = 200;
const START: StorePosition = { era: 0, offset: 0 };

/**
 * Reads from peers what they know of the platform's store and this instance does not, so that an instance that the
 * store refuses, or that lost a relay, knows what the others know.
 */
class PeerCatchUp {
  /** Topics with a read in progress. */
  private readonly reading = new Set<StoreTopic>();

  private readonly agent = createTrackedAgent({
    connections: null,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

  constructor(
    /** Port at which instances serve their records, the same on all. */
    private readonly port: number,
    private readonly deps: Dependencies,
  ) {}

  /** Compares a peer's positions with this instance's: equal ones are as new as the peer's, and what is missing is read from it. */
  observe(heartbeat: Heartbeat): void {
    const ends = heartbeatEnds(heartbeat);
    const { operatorReadAgeMs, member } = heartbeat;
    const { host, name } = member;
    if (operatorReadAgeMs !== undefined) {
      const { view } = this.deps;
      view.confirmFromPeer(StoreTopic.Operator, ends[StoreTopic.Operator], operatorReadAgeMs);
    }
    Object.values(StoreTopic).forEach((topic) => {
      void this.catchUp(topic, ends[topic], host, name);
    });
  }

  /** Ends reads in progress and closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async catchUp(
    topic: StoreTopic,
    end: StorePosition,
    host: string,
    peer: string,
  ): Promise<void> {
    const { clock, view, log, metrics } = this.deps;
    const isBehind = () => comparePositions(end, view.end(topic) ?? START) > 0;
    if (!isBehind() || this.reading.has(topic)) return;
    view.observeEnd(topic, end);
    this.reading.add(topic);
    try {
      await clock.sleep(READ_DELAY_MS);
      if (!isBehind()) return;
      view.mergeFromPeer(topic, await this.read(topic, host), peer);
      metrics.peerReads.inc({ topic, outcome: 'read' });
    } catch (error) {
      metrics.peerReads.inc({ topic, outcome: 'failed' });
      log.event('peer_read_failed', { topic, peer, error: (error as Error).message });
    } finally {
      this.reading.delete(topic);
    }
  }

  private async read(topic: StoreTopic, host: string): Promise<RecordSpan> {
    const end = this.deps.view.end(topic);
    const from = end === undefined ? '' : `&from=${end.offset}&era=${end.era}`;
    const url = `http://${host}:${this.port}/records?topic=${topic}${from}`;
    const { statusCode, body } = await request(url, {
      dispatcher: this.agent,
      // Reads are rare, and a kept connection may have gone silent since the last one.
      reset: true,
      signal: AbortSignal.timeout(READ_TIMEOUT_MS),
    });
    const bytes = await readBytes(body, MAX_RESPONSE_BYTES);
    if (statusCode !== OK) throw new Error(`the peer answered ${statusCode}`);
    return recordSpanCodec.decode(bytes);
  }
}

export default PeerCatchUp;
