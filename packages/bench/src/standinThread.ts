/** A thread with the platform's stand-ins and engines; posts their base URLs. */
import { parentPort, workerData } from 'node:worker_threads';
import {
  type EngineOptions,
  startEngine,
  startInstanceList,
  startLog,
} from '@wisteriapath/standins';
import { request } from 'undici';
import type StandinUrls from './StandinUrls';

interface Plan {
  readonly engines: number;
  readonly engine: EngineOptions;
  /** What the engines that are asked directly have loaded. */
  readonly asset: { readonly id: string; readonly sizeMb: number };
}

const startEngines = async ({ engines, engine }: Plan): Promise<string[]> => {
  const started = await Promise.all(Array.from({ length: engines }, () => startEngine(engine)));
  return started.map(({ url }) => url);
};

const load = async (url: string, { id, sizeMb }: Plan['asset']): Promise<void> => {
  const order = { kind: 'load', assetId: id, sizeMb, fencing: 1, sequence: 1 };
  const answer = await request(`${url}/orders`, { method: 'POST', body: JSON.stringify(order) });
  await answer.body.dump();
};

const start = async (plan: Plan): Promise<StandinUrls> => {
  const [log, list] = await Promise.all([startLog(), startInstanceList()]);
  const [engines, directEngines] = [await startEngines(plan), await startEngines(plan)];
  await Promise.all(directEngines.map((url) => load(url, plan.asset)));
  return { log: log.url, list: list.url, engines, directEngines };
};

void start(workerData as Plan).then((urls) => parentPort!.postMessage(urls));
