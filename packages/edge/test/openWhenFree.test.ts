/** A port that cannot be opened ends the start: at once if waiting does not help, otherwise after a time. */
import VirtualClock from '@wisteriapath/virtual-clock';
import openWhenFree from '../src/openWhenFree';

const ADDRESS = '10.1.0.25:8221';
const LIMIT_MS = 13_000;

const failWith = (code: string) => Promise.reject(Object.assign(new Error('listen'), { code }));

describe('a port that is opened once it is free', () => {
  const start = (open: () => Promise<string>, limitMs: number | null = LIMIT_MS) => {
    const clock = new VirtualClock();
    const lines: (readonly [string, unknown])[] = [];
    const state = { isOver: false, outcome: 'neither' };
    const options = {
      clock,
      log: { event: (name: string, fields: unknown) => lines.push([name, fields]) },
      limitMs,
      isOver: () => state.isOver,
      onFailure: () => {},
    };
    openWhenFree(ADDRESS, options, open).then(
      (opened) => {
        state.outcome = opened ?? 'nothing';
      },
      (error: Error) => {
        state.outcome = `${error.name}: ${error.message}`;
      },
    );
    return { clock, lines, state };
  };

  test.each([
    'EACCES',
    'EPERM',
    'EMFILE',
    'EAFNOSUPPORT',
    'EINVAL',
    'ENOTFOUND',
    'ERR_SOCKET_BAD_PORT',
  ])('is not waited for after %s', async (code) => {
    const { clock, state } = start(() => failWith(code));
    await clock.advance(0);
    expect(state.outcome).toBe(`ListenError: ${ADDRESS} could not be opened (${code}), tries: 1`);
  });

  test.each(['EADDRINUSE', 'EADDRNOTAVAIL', 'ENFILE', 'ENOBUFS'])(
    'is waited for after %s for as long as the limit, and no longer',
    async (code) => {
      const { clock, state, lines } = start(() => failWith(code));
      await clock.runUntil(LIMIT_MS - 1);
      expect(state.outcome).toBe('neither');
      await clock.runUntil(LIMIT_MS + 200);
      const tries = 66;
      expect(state.outcome).toBe(
        `ListenError: ${ADDRESS} could not be opened (${code}), tries: ${tries}`,
      );
      expect(lines[0]).toEqual(['listen_failed', { address: ADDRESS, code, failures: 1 }]);
    },
  );

  test('is opened when it is free before that', async () => {
    let isFree = false;
    const { clock, state } = start(() =>
      isFree ? Promise.resolve('open') : failWith('EADDRINUSE'),
    );
    await clock.runUntil(LIMIT_MS - 500);
    isFree = true;
    await clock.runUntil(LIMIT_MS);
    expect(state.outcome).toBe('open');
  });

  test.each(['EACCES', 'EADDRINUSE'])(
    'is waited for without a limit after %s if nothing needs it',
    async (code) => {
      const { clock, state } = start(() => failWith(code), null);
      await clock.runUntil(600_000);
      expect(state.outcome).toBe('neither');
    },
  );

  test('is tried again by a process that stood still for longer than the limit', async () => {
    let nowMs = 0;
    let tries = 0;
    const clock = {
      nowMs: () => nowMs,
      sleep: () => {
        nowMs += 2 * LIMIT_MS;
        return Promise.resolve();
      },
    };
    const log = { event: () => {} };
    const options = { clock, log, limitMs: LIMIT_MS, isOver: () => false, onFailure: () => {} };
    const opened = openWhenFree(ADDRESS, options, () => {
      tries += 1;
      return tries > 2 ? Promise.resolve('open') : failWith('EADDRINUSE');
    });
    expect(await opened).toBe('open');
  });

  test('is not opened, and fails nothing, once the process stops', async () => {
    const { clock, state } = start(() => failWith('EADDRINUSE'));
    await clock.runUntil(LIMIT_MS - 100);
    state.isOver = true;
    await clock.runUntil(LIMIT_MS + 1_000);
    expect(state.outcome).toBe('nothing');
  });
});
