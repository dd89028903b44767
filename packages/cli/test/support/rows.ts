import { sha256Hex } from '@wisteriapath/model';

/** Builds table rows with default values. */
const rows = {
  workspace: (rateTokensPerS = 1e6, burstTokens = 3e6) => ({ rateTokensPerS, burstTokens }),
  key: (secret: string, workspace: string) => ({ sha256: sha256Hex(secret), workspace }),
  engine: (url: string, failureDomain: string, fields: object = {}) => ({
    kind: 'engine',
    url,
    failureDomain,
    capacity: 16,
    memoryMb: 80_000,
    fencing: true,
    ...fields,
  }),
  service: (url: string, failureDomain: string, fields: object = {}) => ({
    kind: 'service',
    url,
    failureDomain,
    capacity: 32,
    ...fields,
  }),
  model: (pool: string, workspaces: readonly string[], fields: object = {}) => ({
    kind: 'model',
    model: 'cups-7b',
    modelMb: 14_000,
    pool,
    workspaces,
    ...fields,
  }),
  booking: (pool: string, workspaces: readonly string[], fields: object = {}) => ({
    kind: 'service',
    pool,
    workspaces,
    idempotent: false,
    ...fields,
  }),
};

export default rows;
