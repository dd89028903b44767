import { createLogger, startInstance } from '@wisteriapath/daemon';
import { parseSettings } from '@wisteriapath/config';
import { RouteKind, sha256Hex, systemClock, TableName, TargetKind } from '@wisteriapath/model';
import { loopbackSettings, startEngine, startInstanceList, startLog } from '@wisteriapath/standins';
import { request } from 'undici';
import OperatorClient from './OperatorClient';

interface Options {
  /** Stops the system after the first response. */
  readonly once: boolean;
}

const OPERATOR_TOKEN = 'demo-operator';
const API_KEY = 'demo-key';
const DOMAIN = 'khomas-a';
const READY_POLL_INTERVAL_MS = 100;

const fillTables = async (client: OperatorClient, engineUrl: string): Promise<void> => {
  const workspace = { rateTokensPerS: 1_000, burstTokens: 5_000 };
  await client.set(TableName.Workspaces, 'omuriro', 0, workspace);
  const key = { sha256: sha256Hex(API_KEY), workspace: 'omuriro' };
  await client.set(TableName.Keys, 'demo', 0, key);
  const engine = {
    kind: TargetKind.Engine,
    url: engineUrl,
    failureDomain: DOMAIN,
    capacity: 16,
    memoryMb: 80_000,
    fencing: true,
  };
  await client.set(TableName.Pools, 'guide-models', 0, { targets: { 'engine-a1': engine } });
  await client.set(TableName.Routes, 'cup-guide', 0, {
    kind: RouteKind.Model,
    model: 'cups-7b',
    modelMb: 14_000,
    pool: 'guide-models',
    workspaces: ['omuriro'],
  });
};

const body = JSON.stringify({
  model: 'cup-guide',
  stream: true,
  max_tokens: 12,
  messages: [{ role: 'user', content: 'How do I round a dented rim?' }],
});

const sendRequest = async (callersUrl: string): Promise<void> => {
  const response = await request(`${callersUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' },
    body,
  });
  process.stdout.write(`\nanswer: HTTP ${response.statusCode}\n`);
  for await (const chunk of response.body) process.stdout.write(chunk as Buffer);
  if (response.statusCode !== 200) throw new Error('the demo request failed');
};

/**
 * Runs a complete system in this process: an instance, an engine and stand-ins for the platform's services.
 * Configures one route, sends one request and prints the response.
 *
 * @example
 * await demo({ once: true });
 */
const demo = async ({ once }: Options): Promise<void> => {
  const [log, list, engine] = await Promise.all([startLog(), startInstanceList(), startEngine()]);
  const text = loopbackSettings({
    name: 'entry-a1',
    failureDomain: DOMAIN,
    failureDomains: [DOMAIN],
    logUrl: log.url,
    instanceListUrl: list.url,
    operatorToken: OPERATOR_TOKEN,
  });
  const settings = parseSettings('demo', text).unsafeCoerce();
  const logger = createLogger('info', (line) => process.stdout.write(line));
  const instance = await startInstance(settings, logger);
  const client = new OperatorClient(instance.operatorsUrl, OPERATOR_TOKEN);
  while (!(await client.status()).ready) await systemClock.sleep(READY_POLL_INTERVAL_MS);
  await fillTables(client, engine.url);
  await sendRequest(instance.callersUrl);
  if (once) {
    await instance.stop();
    await Promise.all([log.close(), list.close(), engine.close()]);
    return;
  }
  process.stdout.write(`
The system keeps running; stop it with Ctrl-C. Try:

  curl -N ${instance.callersUrl}/v1/chat/completions \\
    -H 'Authorization: Bearer ${API_KEY}' -H 'Content-Type: application/json' \\
    -d '${body}'

  npx wisteriapath status --url ${instance.operatorsUrl} --token ${OPERATOR_TOKEN}
`);
};

export default demo;
