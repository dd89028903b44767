import { Just, type Maybe, Nothing } from 'purify-ts';
import { Agent, request } from 'undici';
import type { InstanceAddress } from '@wisteriapath/model';
import type InstanceListPort from './InstanceListPort';

const TIMEOUT_MS = 1_000;
const OK = 200;

/** The instance list over the HTTP protocol of docs/platform.md. */
class HttpInstanceList implements InstanceListPort {
  private readonly agent = new Agent({ connect: { timeout: TIMEOUT_MS } });

  constructor(private readonly baseUrl: string) {}

  async list(): Promise<Maybe<readonly InstanceAddress[]>> {
    try {
      const answer = await request(`${this.baseUrl}/instances`, {
        dispatcher: this.agent,
        headersTimeout: TIMEOUT_MS,
        bodyTimeout: TIMEOUT_MS,
      });
      if (answer.statusCode !== OK) {
        await answer.body.dump();
        return Nothing;
      }
      const { instances } = (await answer.body.json()) as { instances: InstanceAddress[] };
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
