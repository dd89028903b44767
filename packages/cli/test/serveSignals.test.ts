/** An instance of the own protocol lives on at each signal that asks for nothing, and ends in order at each that asks for a stop. */
import { SignalMeaning, signalMeanings } from '@wisteriapath/process-signals';
import { request } from 'undici';
import ProcessSystem from './support/ProcessSystem';

const DOMAIN = 'khomas-a';
const SETTLE_MS = 200;
const NOT_FOUND = 404;
const UNAUTHORIZED = 401;

const signalsOf = (...meanings: readonly SignalMeaning[]): NodeJS.Signals[] =>
  (Object.keys(signalMeanings) as NodeJS.Signals[]).filter((signal) =>
    meanings.includes(signalMeanings[signal]!),
  );

const sleep = (durationMs: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

describe('an instance of the own protocol', () => {
  let system: ProcessSystem;
  beforeAll(async () => {
    system = await ProcessSystem.start([DOMAIN]);
  });
  afterAll(() => system.stop());

  test('lives on, and answers, after all signals that ask for no stop', async () => {
    const instance = await system.instance({ name: 'lives', failureDomain: DOMAIN });
    signalsOf(SignalMeaning.Reload, SignalMeaning.Nothing).forEach(instance.process.signal);
    await sleep(SETTLE_MS);
    expect(instance.process.child.signalCode).toBeNull();
    const { statusCode, body } = await request(`${instance.callersUrl}/`);
    await body.dump();
    expect([NOT_FOUND, UNAUTHORIZED]).toContain(statusCode);
    expect(instance.process.output()).not.toContain('Debugger listening');
  });

  test.each(signalsOf(SignalMeaning.Stop))(
    'ends in order at a %s, and at a second one',
    async (signal) => {
      const instance = await system.instance({
        name: `stops-${signal.toLowerCase()}`,
        failureDomain: DOMAIN,
      });
      instance.process.signal(signal);
      await instance.process.waitFor(/event=stopping/);
      instance.process.signal(signal);
      expect(await instance.process.exited).toBe(0);
      expect(instance.process.output()).toContain('event=stopped');
    },
  );
});
