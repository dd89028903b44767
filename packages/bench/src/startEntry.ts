import { OperatorClient } from '@wisteriapath/cli';
import { parseSettings } from '@wisteriapath/config';
import { createLogger, startInstance } from '@wisteriapath/daemon';
import { RouteKind, sha256Hex, systemClock, TargetKind } from '@wisteriapath/model';
import { loopbackSettings } from '@wisteriapath/standins';
import type StandinUrls from './StandinUrls';

interface EntryOptions {
  readonly urls: StandinUrls;
  /** Names of the routes; each has an engine of its own. */
  readonly routes: readonly string[];
  readonly asset: { readonly id: string; readonly sizeMb: number };
  /** Capacity of each engine. */
  readonly capacity: number;
}

const DOMAIN = 'khomas-a';
const TOKEN = 'bench-operator';
const SECRET = 'bench-key';
const POLL_INTERVAL_MS = 50;
/** Rate and burst high enough that the budget never limits the measurement. */
const UNLIMITED_TOKENS = 1e9;

/**
 * Starts one instance in this thread and configures routes to the engines of another thread.
 *
 * @example
 * const entry = await startEntry({ urls, routes: ['cup-guide'], asset, capacity: 32 });
 */
const startEntry = async ({ urls, routes, asset, capacity }: EntryOptions) => {
  const text = loopbackSettings({
    name: 'entry-a1',
    failureDomain: DOMAIN,
    failureDomains: [DOMAIN],
    logUrl: urls.log,
    instanceListUrl: urls.instanceList,
    operatorToken: TOKEN,
  });
  const settings = parseSettings('bench', text).unsafeCoerce();
  const instance = await startInstance(
    settings,
    createLogger('info', () => {}),
  );
  const operator = new OperatorClient(instance.operatorsUrl, TOKEN);
  while (!(await operator.status()).ready) await systemClock.sleep(POLL_INTERVAL_MS);
  await operator.set('workspaces', 'bench', 0, {
    rateTokensPerS: UNLIMITED_TOKENS,
    burstTokens: UNLIMITED_TOKENS,
  });
  await operator.set('keys', 'bench', 0, { sha256: sha256Hex(SECRET), workspace: 'bench' });
  for (const [index, route] of routes.entries()) {
    const url = urls.engines[index];
    const engine = { url, failureDomain: DOMAIN, capacity, memoryMb: 80_000 };
    const targets = { [`engine-${index}`]: { kind: TargetKind.Engine, ...engine } };
    await operator.set('pools', `pool-${index}`, 0, { targets });
    await operator.set('routes', route, 0, {
      kind: RouteKind.Model,
      model: asset.id,
      modelMb: asset.sizeMb,
      pool: `pool-${index}`,
      workspaces: ['bench'],
    });
  }
  return {
    callersUrl: instance.callersUrl,
    secret: SECRET,
    stop: () => instance.stop(),
  };
};

export default startEntry;
