import { z } from 'zod';
import rowName from './rowName';

const hostPort = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'must look like 127.0.0.1:8080');
const httpUrl = z.string().regex(/^https?:\/\/[^/\s]+$/, 'must look like http://host:port');
const sha256 = z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 in lower-case hexadecimal');

const positiveDurationMs = (defaultMs: number, description: string) =>
  z.coerce.number().int().positive().default(defaultMs).describe(description);

const positiveInteger = (defaultValue: number, description: string) =>
  z.coerce.number().int().positive().default(defaultValue).describe(description);

const instance = z.strictObject({
  name: rowName.describe('Name of this instance, as the instance list shows it.'),
  failure_domain: rowName.describe('Failure domain that this instance stands in.'),
});

const listen = z.strictObject({
  callers: hostPort.describe('Address for callers; port 0 takes a free one.'),
  operators: hostPort.describe('Address for operators.'),
  peers: hostPort.describe('Address for other instances.'),
});

const platform = z.strictObject({
  log_url: httpUrl.describe('Base URL of the log service.'),
  instance_list_url: httpUrl.describe('Base URL of the instance list.'),
  log_append_spacing_ms: positiveDurationMs(20, 'Least time between two appends to one stream.'),
  log_retention_s: positiveInteger(604_800, 'How long the log keeps records.'),
});

const operators = z.strictObject({
  token_sha256: sha256.describe('SHA-256 of the operator token, hexadecimal.'),
});

const requests = z.strictObject({
  max_body_bytes: positiveInteger(1_048_576, 'Longest request body.'),
  max_waiting: positiveInteger(2_000, 'Most requests that wait at once in this instance.'),
  answer_margin_ms: positiveDurationMs(150, 'Time before the deadline by which a wait is refused.'),
  silence_limit_ms: positiveDurationMs(
    15_000,
    'Time without a byte after which a target connection is taken for silent and closed.',
  ),
  max_new_tokens: positiveInteger(512, 'Tokens reserved for requests that state no maximum.'),
});

const claims = z.strictObject({
  shards: positiveInteger(4, 'Claim streams; the same on every instance.'),
  dedupe_window_s: positiveInteger(
    86_400,
    'How long a claim is remembered; below the log retention.',
  ),
});

const budgets = z.strictObject({
  failure_domains: z
    .string()
    .transform((text) => text.split(',').map((name) => name.trim()))
    .describe(
      'All failure domains, separated by commas; each holds an equal part of every budget. The same on every instance.',
    ),
  loan_term_ms: positiveDurationMs(2_000, 'Longest time for which tokens are lent to an instance.'),
  write_off_ms: positiveDurationMs(
    60_000,
    'Silence of an instance after which tokens lent to it count as spent; above the longest request.',
  ),
  drift_margin_ms: positiveDurationMs(100, 'Allowance for clocks that run at different speeds.'),
});

const roles = z.strictObject({
  proof_probes: positiveInteger(3, 'Refused connections in a row that prove a process dead.'),
  probe_interval_ms: positiveDurationMs(1_000, 'Time between two probes of a peer.'),
  checkpoint_interval_s: positiveInteger(3_600, 'Time between two configuration checkpoints.'),
});

const placement = z.strictObject({
  lease_term_ms: positiveDurationMs(
    2_000,
    'Time for which an instance may use the slots of a target.',
  ),
  poll_interval_ms: positiveDurationMs(500, 'Time between two load reports of an engine.'),
  store_loads_at_once: positiveInteger(
    1,
    "This failure domain's part of the loads that the weight store takes at once.",
  ),
  adapters_in_transit: positiveInteger(
    10,
    "This failure domain's part of the adapter loads that the weight store takes at once.",
  ),
  idle_unload_s: positiveInteger(300, 'Longest time for which an idle replica is kept.'),
  kv_floor_share: z.coerce
    .number()
    .min(0)
    .max(0.9)
    .default(0.2)
    .describe('Share of engine memory that is kept for KV cache.'),
});

const shutdown = z.strictObject({
  balancer_lag_ms: positiveDurationMs(
    1_000,
    'Time for which requests are still taken after SIGTERM.',
  ),
});

const log = z.strictObject({
  level: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('Least severe level that is logged.'),
});

/** Settings of `wisteriapath serve`, one INI section each. */
const settingsSchema = z
  .strictObject({
    instance,
    listen,
    platform,
    operators,
    requests: requests.prefault({}),
    claims: claims.prefault({}),
    budgets,
    roles: roles.prefault({}),
    placement: placement.prefault({}),
    shutdown: shutdown.prefault({}),
    log: log.prefault({}),
  })
  .refine((all) => all.claims.dedupe_window_s < all.platform.log_retention_s, {
    path: ['claims', 'dedupe_window_s'],
    message: 'must be shorter than platform.log_retention_s',
  })
  .refine((all) => all.roles.checkpoint_interval_s * 2 <= all.platform.log_retention_s, {
    path: ['roles', 'checkpoint_interval_s'],
    message: 'must be at most half of platform.log_retention_s',
  });

export default settingsSchema;
