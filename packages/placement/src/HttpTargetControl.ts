import { Just, type Maybe, Nothing } from 'purify-ts';
import { Agent, request } from 'undici';
import type LoadReport from './LoadReport';
import OrderResult from './OrderResult';
import type TargetControl from './TargetControl';
import type TargetOrder from './TargetOrder';

const TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const OK = 200;
const STALE = 412;

/** Targets over the HTTP protocol of docs/platform.md. */
class HttpTargetControl implements TargetControl {
  private readonly agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  async report(url: string): Promise<Maybe<LoadReport>> {
    try {
      const answer = await request(`${url}/load`, {
        dispatcher: this.agent,
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      if (answer.statusCode === OK) return Just((await answer.body.json()) as LoadReport);
      await answer.body.dump();
      return Nothing;
    } catch {
      return Nothing;
    }
  }

  async order(url: string, order: TargetOrder): Promise<OrderResult> {
    try {
      const answer = await request(`${url}/orders`, {
        dispatcher: this.agent,
        method: 'POST',
        body: JSON.stringify(order),
        headers: { 'content-type': 'application/json' },
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      await answer.body.dump();
      if (answer.statusCode === OK) return OrderResult.Accepted;
      return answer.statusCode === STALE ? OrderResult.Stale : OrderResult.Unknown;
    } catch {
      return OrderResult.Unknown;
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

export default HttpTargetControl;
