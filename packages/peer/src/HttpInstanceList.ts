import { Just, type Maybe, Nothing } from 'purify-ts';
import { request } from 'undici';
import { readBytes } from '@wisteriapath/byte-accumulator';
import type { InstanceAddress } from '@wisteriapath/model';
import { createTrackedAgent } from '@wisteriapath/response-ends';
import type InstanceListPort from './InstanceListPort';

const REQUEST_TIMEOUT_MS = 1_000;
const HTTP_OK = 200;
/** Room for 10,000 instances of 800 bytes. */
const MAX_LIST_BYTES = 8 * 1_024 * 1_024;

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
      const list = await readBytes(response.body, MAX_LIST_BYTES);
      const { instances } = JSON.parse(list.toString()) as { instances: InstanceAddress[] };
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
