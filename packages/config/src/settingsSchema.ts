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
  name: rowName.describe('Name of this instance in the instance list.'),
  failure_domain: rowName.describe('Failure domain of this instance.'),
  memory_mb: positiveInteger(
    512,
    'Memory that this process may use. A fifth of it is for the bodies of callers, a quarter for their connections at 64 kB each, a tenth for bytes that were received and not read.',
  ),
});

const listen = z.strictObject({
  callers: hostPort.describe('Listen address for callers; port 0 selects a free port.'),
  operators: hostPort.describe('Listen address for operators.'),
  peers: hostPort.describe('Listen address for other instances.'),
});

const platform = z.strictObject({
  log_url: httpUrl.describe('Base URL of the log service.'),
  instance_list_url: httpUrl.describe('Base URL of the instance list.'),
  log_append_spacing_ms: positiveDurationMs(20, 'Minimum time between two appends to one stream.'),
  log_retention_s: positiveInteger(604_800, 'How long the log retains records.'),
});

const operators = z.strictObject({
  token_sha256: sha256.describe('SHA-256 of the operator token, hexadecimal.'),
});

const requests = z.strictObject({
  max_body_bytes: positiveInteger(1_048_576, 'Maximum size of a request body.'),
  max_waiting: positiveInteger(
    2_000,
    'Maximum number of requests that wait in this instance at once.',
  ),
  answer_margin_ms: positiveDurationMs(
    150,
    'Time before the deadline at which a waiting request is refused.',
  ),
  silence_limit_ms: positiveDurationMs(
    15_000,
    'Time without a received byte after which a connection to a target is closed.',
  ),
  max_new_tokens: positiveInteger(512, 'Tokens reserved for requests that do not set a maximum.'),
});

const claims = z.strictObject({
  shards: positiveInteger(4, 'Number of claim streams; must be the same on every instance.'),
  dedupe_window_s: positiveInteger(
    86_400,
    'How long a claim is kept to detect repeated requests; must be less than the log retention.',
  ),
});

const budgets = z.strictObject({
  failure_domains: z
    .string()
    .transform((text) => text.split(',').map((name) => name.trim()))
    .describe(
      'All failure domains, separated by commas; each holds an equal share of every budget. Must be the same on every instance.',
    ),
  loan_term_ms: positiveDurationMs(2_000, 'Maximum time for which tokens are lent to an instance.'),
  write_off_ms: positiveDurationMs(
    60_000,
    'Time without contact to an instance after which tokens lent to it count as spent; must exceed the duration of the longest request.',
  ),
  drift_margin_ms: positiveDurationMs(
    100,
    'Safety margin for clocks that run at different speeds.',
  ),
});

const roles = z.strictObject({
  proof_probes: positiveInteger(
    3,
    'Number of consecutive refused connections after which a process counts as dead.',
  ),
  probe_interval_ms: positiveDurationMs(1_000, 'Time between two probes of a peer.'),
  checkpoint_interval_s: positiveInteger(3_600, 'Time between two configuration checkpoints.'),
});

const placement = z.strictObject({
  lease_term_ms: positiveDurationMs(
    2_000,
    'Duration of the lease under which an instance uses the slots of a target.',
  ),
  poll_interval_ms: positiveDurationMs(500, 'Time between two polls of the load of an engine.'),
  store_loads_at_once: positiveInteger(
    1,
    'Share of this failure domain in the number of concurrent loads that the weight store allows.',
  ),
  adapters_in_transit: positiveInteger(
    10,
    'Share of this failure domain in the number of concurrent adapter loads that the weight store allows.',
  ),
  idle_unload_s: positiveInteger(300, 'Maximum time for which an idle replica stays loaded.'),
  kv_floor_share: z.coerce
    .number()
    .min(0)
    .max(0.9)
    .default(0.2)
    .describe('Minimum share of engine memory that is reserved for KV cache.'),
});

const shutdown = z.strictObject({
  balancer_lag_ms: positiveDurationMs(
    1_000,
    'Time for which requests are still accepted after SIGTERM, so that load balancers can remove the instance.',
  ),
});

const log = z.strictObject({
  level: z
    .enum(['debug', 'info', 'warn', 'error'])
    .default('info')
    .describe('Lowest severity that is logged.'),
});

/** Schema of the settings of `wisteriapath serve`. Each member is an INI section. */
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
