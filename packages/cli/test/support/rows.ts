import { sha256Hex } from '@wisteriapath/model';

/** Tiny builders of table rows. */
const rows = {
  workspace: (rateTokensPerS = 1e6, burstTokens = 3e6) => ({ rateTokensPerS, burstTokens }),
  key: (secret: string, workspace: string) => ({ sha256: sha256Hex(secret), workspace }),
  engine: (url: string, failureDomain: string, more: object = {}) => ({
    kind: 'engine',
    url,
    failureDomain,
    capacity: 16,
    memoryMb: 80_000,
    fencing: true,
    ...more,
  }),
  service: (url: string, failureDomain: string, more: object = {}) => ({
    kind: 'service',
    url,
    failureDomain,
    capacity: 32,
    ...more,
  }),
  model: (pool: string, workspaces: readonly string[], more: object = {}) => ({
    kind: 'model',
    model: 'cups-7b',
    modelMb: 14_000,
    pool,
    workspaces,
    ...more,
  }),
  booking: (pool: string, workspaces: readonly string[], more: object = {}) => ({
    kind: 'service',
    pool,
    workspaces,
    idempotent: false,
    ...more,
  }),
};

export default rows;
