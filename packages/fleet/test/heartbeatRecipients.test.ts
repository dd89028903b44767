/** The recipients of heartbeats, in small and in large systems. */
import HeartbeatKind from '../src/HeartbeatKind';
import heartbeatRecipients from '../src/heartbeatRecipients';

const member = (name: string, failureDomain: string) => ({
  name,
  failureDomain,
  incarnation: '1',
  host: name,
  cores: 1,
});

const SAME_DOMAIN = Array.from({ length: 12 }, (_, index) => member(`a${index}`, 'a'));
const OTHER_DOMAIN = Array.from({ length: 12 }, (_, index) => member(`b${index}`, 'b'));
const PLACER = SAME_DOMAIN[0];
const OTHER_PLACER = OTHER_DOMAIN[0];

const context = {
  failureDomain: 'a',
  isPlacer: false,
  peers: [...SAME_DOMAIN, ...OTHER_DOMAIN].map((one) => ({ member: one })),
  instances: 25,
  usageAggregator: PLACER,
  placers: [PLACER, OTHER_PLACER],
  heartbeatNumber: 1,
};

const recipients = (heartbeatNumber: number, change: Partial<typeof context> = {}) =>
  heartbeatRecipients({ ...context, ...change, heartbeatNumber }).map(
    ({ member: { name }, kind }) => `${name} ${HeartbeatKind[kind]}`,
  );

test('up to 16 instances, each reports its own usage to all', () => {
  expect(new Set(recipients(1, { instances: 16 }).map((one) => one.split(' ')[1]))).toEqual(
    new Set(['Own']),
  );
  expect(recipients(1, { instances: 16 })).toHaveLength(24);
});

test('among many instances, each reports to the placer and sends presence to a few peers in turn', () => {
  expect([recipients(1), recipients(2), recipients(5)]).toMatchSnapshot();
});

test('within four heartbeats, all peers of the failure domain receive one', () => {
  const names = [1, 2, 3, 4]
    .flatMap((number) => recipients(number))
    .map((one) => one.split(' ')[0]);
  SAME_DOMAIN.forEach(({ name }) => expect(names).toContain(name));
});

test.each([16, 25])(
  'of %d instances, others that are named get one heartbeat each in any case',
  (instances) => {
    const others = SAME_DOMAIN.map((one) => ({ member: one }));
    const names = recipients(1, { instances, others } as never).map((one) => one.split(' ')[0]);
    SAME_DOMAIN.forEach(({ name }) => expect(names.filter((one) => one === name)).toEqual([name]));
  },
);

test('a placer sends each heartbeat to its failure domain and every second one to all instances', () => {
  expect(recipients(1, { isPlacer: true })).toHaveLength(12);
  expect(recipients(2, { isPlacer: true })).toHaveLength(24);
});

test('without a placer to report to, an instance sends presence only', () => {
  const kinds = recipients(1, { usageAggregator: undefined as never, placers: [] }).map(
    (one) => one.split(' ')[1],
  );
  expect(new Set(kinds)).toEqual(new Set(['Presence']));
});
