import type { WorkspaceSpec } from '@wisteriapath/fleet';

interface Admission {
  readonly atMs: number;
  readonly units: number;
}

const WINDOW_MS = 8_000;

/** A workspace whose burst is one second of its rate, and the limit that the users set for it. */
const workspaceLimit = {
  spec: (ratePerS: number): WorkspaceSpec => ({
    name: 'club',
    keys: [],
    priority: null,
    ratePerS,
    burst: ratePerS,
    countsTokens: true,
    defaultTokens: 200,
  }),

  /** Returns the limit that the users set for any window: 10 % beyond rate and burst, plus a fixed number of tokens. */
  bound: ({ ratePerS, burst }: WorkspaceSpec): number =>
    (ratePerS * (WINDOW_MS / 1_000) + burst) * 1.1 + 7_400,

  /** Returns the maximum number of units admitted in any window. */
  maxInWindow: (admitted: readonly Admission[]): number => {
    const within = (fromMs: number) =>
      admitted
        .filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .reduce((sum, { units }) => sum + units, 0);
    return Math.max(...[...new Set(admitted.map(({ atMs }) => atMs))].map(within));
  },
};

export default workspaceLimit;
