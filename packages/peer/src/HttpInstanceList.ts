import { Just, type Maybe, Nothing } from 'purify-ts';
import { request } from 'undici';
import type { InstanceAddress } from '@wisteriapath/model';
import { createTrackedAgent } from '@wisteriapath/response-ends';
import type InstanceListPort from './InstanceListPort';

const REQUEST_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;

/** A client of the platform's instance list, by the HTTP protocol of docs/platform.md. */
class HttpInstanceList implements InstanceListPort {
  private readonly agent = createTrackedAgent({
    connections: null,
    connectTimeoutMs: REQUEST_TIMEOUT_MS,
  });

  constructor(private readonly baseUrl: string) {}

  async list(): Promise<Maybe<readonly InstanceAddress[]>> {
    try {
      const response = await request(`${this.baseUrl}/instances`, {
        dispatcher: this.agent,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      if (response.statusCode !== HTTP_OK) {
        await response.body.dump();
        return Nothing;
      }
      const { instances } = (await response.body.json()) as { instances: InstanceAddress[] };
      return Just(instances);
    } catch {
      return Nothing;
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}

export default HttpInstanceList;
