import { Just, type Maybe, Nothing } from 'purify-ts';
import { request } from 'undici';
import { readBytes } from '@wisteriapath/byte-accumulator';
import { ConnectionUse, createTrackedAgent } from '@wisteriapath/response-ends';
import type LoadReport from './LoadReport';
import OrderResult from './OrderResult';
import type TargetControl from './TargetControl';
import type TargetOrder from './TargetOrder';

const RESPONSE_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
/** As for the reports of engines on the users' platform. */
const MAX_REPORT_BYTES = 1_024 * 1_024;
/** Status of a target that refuses an order because of a stale fencing token. */
const HTTP_PRECONDITION_FAILED = 412;

/**
 * Controls targets by the HTTP protocol of docs/platform.md. Answers bear no ids, so that on a kept connection nothing tells them from
 * the copy of an earlier answer.
 */
class HttpTargetControl implements TargetControl {
  private readonly agent = createTrackedAgent({
    connections: null,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    headersTimeout: RESPONSE_TIMEOUT_MS,
    bodyTimeout: RESPONSE_TIMEOUT_MS,
  });

  async report(url: string): Promise<Maybe<LoadReport>> {
    const connectionUse = new ConnectionUse();
    try {
      const options = { connectionUse, dispatcher: this.agent };
      const response = await request(`${url}/load`, options);
      if (response.statusCode === HTTP_OK) {
        const report = await readBytes(response.body, MAX_REPORT_BYTES);
        return Just(JSON.parse(report.toString()) as LoadReport);
      }
      connectionUse.retireConnection();
      await response.body.dump();
      return Nothing;
    } catch {
      return Nothing;
    }
  }

  async order(url: string, order: TargetOrder): Promise<OrderResult> {
    try {
      const options = {
        // An order has a connection of its own: orders are few, and each answer is believed.
        needsNewConnection: true,
        reset: true,
        dispatcher: this.agent,
        method: 'POST',
        body: JSON.stringify(order),
        headers: { 'content-type': 'application/json' },
      };
      const response = await request(`${url}/orders`, options);
      await response.body.dump();
      if (response.statusCode === HTTP_OK) return OrderResult.Accepted;
      return response.statusCode === HTTP_PRECONDITION_FAILED
        ? OrderResult.Stale
        : OrderResult.Unknown;
    } catch {
      return OrderResult.Unknown;
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

export default HttpTargetControl;
