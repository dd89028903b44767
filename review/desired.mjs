/** The operator's desired state of the scripts. */
const route = (name, type, service, more = {}) => ({
  name,
  host: 'cups.example',
  path_prefix: `/${name}/`,
  type,
  timeout_ms: 10_000,
  slo_ms: 386,
  priority: 1,
  service,
  attempts: 1,
  public: false,
  resumable: false,
  ...more,
});

const desiredState = ({ tenants, models = [], adapterSlots = 8 } = {}) => ({
  version: 7,
  routes: [
    route('book', 'unsafe', 'desk'),
    route('look', 'safe', 'desk', { attempts: 2 }),
    route('sell', 'unsafe', 'shop'),
    route('report', 'streaming', 'guides', {
      attempts: 2,
      slo_ms: 2_000,
      gap_target_ms: 200,
      sticky: true,
      resumable: true,
    }),
    route('guide', 'streaming', 'guides', { gap_target_ms: 200, sticky: true }),
  ],
  services: [
    { name: 'desk', health_path: '/healthz', max_conns: 100, cold_start_s: 0, cold_per_s: 0 },
    { name: 'shop', health_path: '/healthz', max_conns: 100, cold_start_s: 0, cold_per_s: 0 },
    {
      name: 'guides',
      health_path: '/healthz',
      max_conns: 360,
      cold_start_s: 3,
      cold_per_s: 31,
      engine: {
        slots: 64,
        models,
        weights_mb: 220_000,
        adapter_slots: adapterSlots,
        loads_per_s: 3.1,
      },
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: tenants ?? [
    {
      name: 'club',
      api_keys: ['key-1'],
      priority: 1,
      unit: 'tokens',
      plain_tokens: 200,
      rate_per_s: 54_039,
      burst: 54_039,
    },
  ],
});

export default desiredState;
