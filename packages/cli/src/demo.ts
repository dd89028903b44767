import { createLogger, startInstance } from '@wisteriapath/daemon';
import { parseSettings } from '@wisteriapath/config';
import { RouteKind, sha256Hex, systemClock, TableName, TargetKind } from '@wisteriapath/model';
import { loopbackSettings, startEngine, startInstanceList, startLog } from '@wisteriapath/standins';
import { request } from 'undici';
import OperatorClient from './OperatorClient';

interface Options {
  /** Ends after the first answer. */
  readonly once: boolean;
}

const TOKEN = 'demo-operator';
const SECRET = 'demo-key';
const DOMAIN = 'khomas-a';
const SETTLE_MS = 100;

const fillTables = async (client: OperatorClient, engineUrl: string): Promise<void> => {
  const workspace = { rateTokensPerS: 1_000, burstTokens: 5_000 };
  await client.set(TableName.Workspaces, 'omuriro', 0, workspace);
  const key = { sha256: sha256Hex(SECRET), workspace: 'omuriro' };
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

const ask = async (callersUrl: string): Promise<void> => {
  const answer = await request(`${callersUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${SECRET}`, 'content-type': 'application/json' },
    body,
  });
  process.stdout.write(`\nanswer: HTTP ${answer.statusCode}\n`);
  for await (const chunk of answer.body) process.stdout.write(chunk as Buffer);
  if (answer.statusCode !== 200) throw new Error('the demo request was not answered');
};

/**
 * Runs a whole system in this process: an instance, an engine and the platform's stand-ins.
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
    operatorToken: TOKEN,
  });
  const settings = parseSettings('demo', text).unsafeCoerce();
  const logger = createLogger('info', (line) => process.stdout.write(line));
  const instance = await startInstance(settings, logger);
  const client = new OperatorClient(instance.operatorsUrl, TOKEN);
  while (!(await client.status()).ready) await systemClock.sleep(SETTLE_MS);
  await fillTables(client, engine.url);
  await ask(instance.callersUrl);
  if (once) {
    await instance.stop();
    await Promise.all([log.close(), list.close(), engine.close()]);
    return;
  }
  process.stdout.write(`
The system stays up; end it with Ctrl-C. Try:

  curl -N ${instance.callersUrl}/v1/chat/completions \\
    -H 'Authorization: Bearer ${SECRET}' -H 'Content-Type: application/json' \\
    -d '${body}'

  npx wisteriapath status --url ${instance.operatorsUrl} --token ${TOKEN}
`);
};

export default demo;
