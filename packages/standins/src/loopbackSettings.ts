import { stringify } from 'ini';
import { sha256Hex } from '@wisteriapath/model';

interface LoopbackOptions {
  readonly name: string;
  readonly failureDomain: string;
  /** All failure domains of the system. */
  readonly failureDomains: readonly string[];
  readonly logUrl: string;
  readonly instanceListUrl: string;
  /** Operator token in plain text; the settings contain its hash. */
  readonly operatorToken: string;
  /** Port for peers; a free one by default. */
  readonly peerPort?: number;
  /** Further keys by section; they override the default ones. */
  readonly sections?: Readonly<Record<string, Readonly<Record<string, string | number>>>>;
}

const FREE_PORT = '127.0.0.1:0';

/**
 * Returns INI settings of an instance that listens on the loopback address and uses the stand-ins
 * of the platform.
 *
 * @example
 * loopbackSettings({ ...options, sections: { placement: { poll_interval_ms: 100 } } });
 */
const loopbackSettings = (options: LoopbackOptions): string => {
  const base = {
    instance: { name: options.name, failure_domain: options.failureDomain },
    listen: {
      callers: FREE_PORT,
      operators: FREE_PORT,
      peers: `127.0.0.1:${options.peerPort ?? 0}`,
    },
    platform: { log_url: options.logUrl, instance_list_url: options.instanceListUrl },
    operators: { token_sha256: sha256Hex(options.operatorToken) },
    budgets: { failure_domains: options.failureDomains.join(',') },
    shutdown: { balancer_lag_ms: 10 },
  };
  const overrides = Object.entries(options.sections ?? {}).map(([section, keys]) => [
    section,
    { ...base[section as keyof typeof base], ...keys },
  ]);
  return stringify({ ...base, ...Object.fromEntries(overrides) });
};

export default loopbackSettings;
