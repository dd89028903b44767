/** An instance that isn't ready says every ten seconds what it waits for, and once when it is ready. */
import VirtualClock from '@wisteriapath/virtual-clock';
import PortStates from '../src/PortStates';
import ReadinessLog from '../src/ReadinessLog';

describe('the log of an instance that starts', () => {
  const start = () => {
    const clock = new VirtualClock();
    const lines: (readonly [string, unknown])[] = [];
    const state = { isReady: false, isOver: false };
    const ports = new PortStates();
    const run = new ReadinessLog({
      clock,
      log: { event: (name, fields) => lines.push([name, fields]) },
      isReady: () => state.isReady,
      isOver: () => state.isOver,
      waitsFor: () => [...ports.describe(), 'store'],
    }).run();
    return { clock, lines, state, ports, run };
  };

  test('names what it waits for every ten seconds, then when it is ready', async () => {
    const { clock, lines, state, ports, run } = start();
    ports.expect('10.1.0.25:8221');
    ports.expect('10.1.0.25:7600');
    ports.fail('10.1.0.25:8221', { code: 'EADDRINUSE', failures: 50 });
    await clock.runUntil(10_050);
    ports.open('10.1.0.25:8221');
    await clock.runUntil(29_950);
    state.isReady = true;
    await clock.runUntil(60_000);
    await run;
    expect(lines).toEqual([
      [
        'not_ready',
        {
          after_ms: 10_000,
          waits_for: '10.1.0.25:8221 (EADDRINUSE, 50 times), 10.1.0.25:7600, store',
        },
      ],
      ['not_ready', { after_ms: 20_000, waits_for: '10.1.0.25:7600, store' }],
      ['ready', { after_ms: 30_000 }],
    ]);
  });

  test('says nothing more once it stops', async () => {
    const { clock, lines, state, run } = start();
    state.isOver = true;
    await clock.runUntil(60_000);
    await run;
    expect(lines).toEqual([]);
  });
});
