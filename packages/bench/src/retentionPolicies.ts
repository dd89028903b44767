import { expectedUsePolicy, type RetentionPolicy } from '@wisteriapath/placement';

interface NamedPolicy {
  readonly name: string;
  readonly retention: RetentionPolicy;
  readonly idleUnloadMs: number;
}

const HOUR_MS = 3_600_000;
const MINUTE_MS = 60_000;

const leastRecentlyUsed: RetentionPolicy = {
  keepAliveMs: ({ limitMs }) => limitMs,
  evictionCost: ({ gaps, nowMs }) => -gaps.idleMs(nowMs),
};

const createFixedPolicy = (minutes: number): NamedPolicy => ({
  name: `fixed keep-alive of ${minutes} min`,
  retention: leastRecentlyUsed,
  idleUnloadMs: minutes * MINUTE_MS,
});

/** The retention policy of the placer and the simple policies that serve as baselines. */
const retentionPolicies: readonly NamedPolicy[] = [
  { name: 'by expected use', retention: expectedUsePolicy, idleUnloadMs: 5 * MINUTE_MS },
  createFixedPolicy(1),
  createFixedPolicy(5),
  createFixedPolicy(15),
  {
    name: 'least recently used, no keep-alive limit',
    retention: leastRecentlyUsed,
    idleUnloadMs: 1_000 * HOUR_MS,
  },
];

export default retentionPolicies;
