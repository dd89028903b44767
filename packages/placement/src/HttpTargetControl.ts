import { Just, type Maybe, Nothing } from 'purify-ts';
import { Agent, request } from 'undici';
import type LoadReport from './LoadReport';
import OrderResult from './OrderResult';
import type TargetControl from './TargetControl';
import type TargetOrder from './TargetOrder';

const RESPONSE_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
/** Status of a target that refuses an order because of a stale fencing token. */
const HTTP_PRECONDITION_FAILED = 412;

/** Controls targets by the HTTP protocol of docs/platform.md. */
class HttpTargetControl implements TargetControl {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  async report(url: string): Promise<Maybe<LoadReport>> {
    try {
      const response = await request(`${url}/load`, {
        dispatcher: this.agent,
        headersTimeout: RESPONSE_TIMEOUT_MS,
        bodyTimeout: RESPONSE_TIMEOUT_MS,
      });
      if (response.statusCode === HTTP_OK) return Just((await response.body.json()) as LoadReport);
      await response.body.dump();
      return Nothing;
    } catch {
      return Nothing;
    }
  }

  async order(url: string, order: TargetOrder): Promise<OrderResult> {
    try {
      const response = await request(`${url}/orders`, {
        dispatcher: this.agent,
        method: 'POST',
        body: JSON.stringify(order),
        headers: { 'content-type': 'application/json' },
        headersTimeout: RESPONSE_TIMEOUT_MS,
        bodyTimeout: RESPONSE_TIMEOUT_MS,
      });
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
