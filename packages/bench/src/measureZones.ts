import { build } from 'hdr-histogram-js';
import { RouteKind, systemClock, TargetKind, ZoneState } from '@wisteriapath/model';
import { startEngine } from '@wisteriapath/standins';
import { request } from 'undici';
import startSystem from './startSystem';

const INSTANCES = 6;
const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const ENGINES_PER_DOMAIN = 2;
const ROUTES = 6;
const REQUESTS_PER_S = 60;
const TOKENS = 20;
const TOKEN_MS = 10;
const DEADLINE_MS = 3_000;
const DURATION_S = 26;
const DRAIN_AT_S = 8;
const RESTORE_AT_S = 17;
const WARM_UP_ROUNDS = 40;
const SECOND_MS = 1_000;
const OK = 200;

/** Figures of one second of the measurement. */
interface SecondFigures {
  sent: number;
  answered: number;
  readonly latency: ReturnType<typeof build>;
  /** Requests that engines of the drained domain have begun by the end of this second, in total. */
  begunInDomain: number;
}

/**
 * Prints the requests sent and answered in each second, while an operator drains one of three
 * failure domains and restores it.
 *
 * @example
 * await measureZones();
 */
const measureZones = async (): Promise<void> => {
  const system = await startSystem(INSTANCES);
  const engines = await Promise.all(
    DOMAINS.flatMap((failureDomain) =>
      Array.from({ length: ENGINES_PER_DOMAIN }, async () => ({
        failureDomain,
        engine: await startEngine({ tokenMs: TOKEN_MS }),
      })),
    ),
  );
  const targets = engines.map(({ failureDomain, engine }, index) => [
    `engine-${index}`,
    {
      kind: TargetKind.Engine,
      url: engine.url,
      failureDomain,
      capacity: 16,
      memoryMb: 80_000,
      fencing: true,
    },
  ]);
  await system.set(0, 'pools', 'guide', { targets: Object.fromEntries(targets) });
  const routes = Array.from({ length: ROUTES }, (_unused, index) => `guide-${index}`);
  for (const route of routes) {
    await system.set(0, 'routes', route, {
      kind: RouteKind.Model,
      model: route,
      modelMb: 1_000,
      pool: 'guide',
      workspaces: ['bench'],
    });
  }
  const sendRequest = async (index: number): Promise<boolean> => {
    const { callersUrl } = system.instances[index % INSTANCES];
    const response = await request(`${callersUrl}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${system.secret}`, 'x-deadline-ms': String(DEADLINE_MS) },
      body: JSON.stringify({
        model: routes[Math.floor(index / INSTANCES) % ROUTES],
        prompt: `request ${index}`,
        max_tokens: TOKENS,
      }),
    });
    await response.body.dump();
    return response.statusCode === OK;
  };
  const countBegun = (domain: string): number =>
    engines
      .filter(({ failureDomain }) => failureDomain === domain)
      .map(({ engine }) => engine.state() as { finished: number; inflight: number })
      .reduce((sum, { finished, inflight }) => sum + finished + inflight, 0);

  for (let round = 0; round < WARM_UP_ROUNDS; round += 1) {
    await Promise.all(
      Array.from({ length: ROUTES * INSTANCES }, (_unused, index) =>
        sendRequest(index).catch(() => false),
      ),
    );
  }
  const [, drainedDomain] = DOMAINS;
  const seconds: SecondFigures[] = [];
  const pending: Promise<void>[] = [];
  const startedMs = systemClock.nowMs();
  for (let second = 0; second < DURATION_S; second += 1) {
    const figures: SecondFigures = { sent: 0, answered: 0, latency: build(), begunInDomain: 0 };
    seconds.push(figures);
    if (second === DRAIN_AT_S) {
      pending.push(system.setZone(0, drainedDomain, ZoneState.Out));
    }
    if (second === RESTORE_AT_S) {
      pending.push(system.setZone(0, drainedDomain, ZoneState.In));
    }
    for (let index = 0; index < REQUESTS_PER_S; index += 1) {
      const atMs = startedMs + (second + index / REQUESTS_PER_S) * SECOND_MS;
      await systemClock.sleep(atMs - systemClock.nowMs());
      const sentMs = systemClock.nowMs();
      figures.sent += 1;
      const answered = sendRequest(second * REQUESTS_PER_S + index).catch(() => false);
      pending.push(
        answered.then((isOk) => {
          if (isOk) figures.answered += 1;
          figures.latency.recordValue(Math.round(systemClock.nowMs() - sentMs));
        }),
      );
    }
    figures.begunInDomain = countBegun(drainedDomain);
  }
  await Promise.all(pending);
  process.stdout.write(
    `${drainedDomain} is drained at second ${DRAIN_AT_S} and restored at ${RESTORE_AT_S}\n`,
  );
  process.stdout.write('| second | sent | answered | p95 ms | begun in the domain |\n');
  process.stdout.write('| --- | --- | --- | --- | --- |\n');
  seconds.forEach(({ sent, answered, latency, begunInDomain }, second) => {
    const begun = begunInDomain - (seconds[second - 1]?.begunInDomain ?? begunInDomain);
    const p95 = latency.getValueAtPercentile(95);
    process.stdout.write(`| ${second} | ${sent} | ${answered} | ${p95} | ${begun} |\n`);
  });
  await system.stop();
  await Promise.all(engines.map(({ engine }) => engine.close()));
};

export default measureZones;
