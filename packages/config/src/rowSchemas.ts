import {
  RequestClass,
  RouteKind,
  TableName,
  TargetKind,
  type Pool,
  type Route,
  type WorkspaceKey,
  type Workspace,
  type Zone,
  ZoneState,
} from '@wisteriapath/model';
import { z } from 'zod';
import rowName from './rowName';

const MAX_DEADLINE_MS = 3_600_000;
const DEFAULT_DEADLINE_MS = 30_000;
const DEFAULT_STALE_KEYS_LIMIT_S = 60;

const route: z.ZodType<Route> = z
  .strictObject({
    kind: z.enum(RouteKind),
    model: z.string().default(''),
    modelMb: z.int().nonnegative().default(0),
    adapter: z.string().nullable().default(null),
    adapterMb: z.int().nonnegative().default(0),
    pool: rowName,
    workspaces: z.array(rowName).default([]),
    open: z.boolean().default(false),
    idempotent: z.boolean().default(true),
    requestClass: z.enum(RequestClass).default(RequestClass.Interactive),
    deadlineMs: z.int().positive().max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
    staleKeysLimitS: z.int().nonnegative().default(DEFAULT_STALE_KEYS_LIMIT_S),
  })
  .refine((row) => row.kind === RouteKind.Service || row.model !== '', {
    path: ['model'],
    message: 'is required for routes of kind model',
  })
  .refine((row) => row.kind === RouteKind.Service || row.modelMb > 0, {
    path: ['modelMb'],
    message: 'is required for routes of kind model',
  })
  .refine((row) => row.kind === RouteKind.Service || row.idempotent, {
    path: ['idempotent'],
    message: 'must be true for routes of kind model',
  });

const target = z.strictObject({
  kind: z.enum(TargetKind),
  url: z.string().regex(/^http:\/\/[^/\s]+$/, 'must look like http://host:port'),
  failureDomain: rowName,
  capacity: z.int().positive(),
  memoryMb: z.int().nonnegative().default(0),
  fencing: z.boolean().default(false),
});

const pool: z.ZodType<Pool> = z.strictObject({
  maxReplicas: z.int().positive().default(1),
  targets: z.record(rowName, target).default({}),
});

const tenantKey: z.ZodType<WorkspaceKey> = z.strictObject({
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in lower-case hexadecimal'),
  workspace: rowName,
});

const workspace: z.ZodType<Workspace> = z.strictObject({
  rateTokensPerS: z.number().positive(),
  burstTokens: z.int().positive(),
  weight: z.number().positive().default(1),
});

const zone: z.ZodType<Zone> = z.strictObject({ state: z.enum(ZoneState) });

/** Schemas of the rows, by table. */
const rowSchemas: Readonly<Record<TableName, z.ZodType>> = {
  [TableName.Routes]: route,
  [TableName.Pools]: pool,
  [TableName.Keys]: tenantKey,
  [TableName.Workspaces]: workspace,
  [TableName.Zones]: zone,
};

export default rowSchemas;
