/**
 * A worker thread that runs the stand-ins of the platform and of engines, and posts their base
 * URLs.
 */
import { parentPort, workerData } from 'node:worker_threads';
import {
  type EngineOptions,
  startEngine,
  startInstanceList,
  startLog,
} from '@wisteriapath/standins';
import { request } from 'undici';
import type StandinUrls from './StandinUrls';

interface ThreadOptions {
  readonly engines: number;
  readonly engine: EngineOptions;
  /** Asset that is loaded on the engines that callers use directly. */
  readonly asset: { readonly id: string; readonly sizeMb: number };
}

const startEngines = async ({ engines, engine }: ThreadOptions): Promise<string[]> => {
  const started = await Promise.all(Array.from({ length: engines }, () => startEngine(engine)));
  return started.map(({ url }) => url);
};

const loadAsset = async (url: string, { id, sizeMb }: ThreadOptions['asset']): Promise<void> => {
  const order = { kind: 'load', assetId: id, sizeMb, fencing: 1, sequence: 1 };
  const response = await request(`${url}/orders`, { method: 'POST', body: JSON.stringify(order) });
  await response.body.dump();
};

const start = async (options: ThreadOptions): Promise<StandinUrls> => {
  const [log, list] = await Promise.all([startLog(), startInstanceList()]);
  const [engines, directEngines] = [await startEngines(options), await startEngines(options)];
  await Promise.all(directEngines.map((url) => loadAsset(url, options.asset)));
  return { log: log.url, instanceList: list.url, engines, directEngines };
};

void start(workerData as ThreadOptions).then((urls) => parentPort!.postMessage(urls));
