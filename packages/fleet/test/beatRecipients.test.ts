/** To whom beats go, in small and in large systems. */
import HeartbeatKind from '../src/HeartbeatKind';
import beatRecipients from '../src/beatRecipients';

const member = (name: string, failureDomain: string) => ({
  name,
  failureDomain,
  incarnation: '1',
  host: name,
  cores: 1,
});

const NEAR = Array.from({ length: 12 }, (_, index) => member(`a${index}`, 'a'));
const FAR = Array.from({ length: 12 }, (_, index) => member(`b${index}`, 'b'));
const HUB = NEAR[0];
const FAR_HUB = FAR[0];

const situation = {
  failureDomain: 'a',
  isPlacer: false,
  peers: [...NEAR, ...FAR].map((one) => ({ member: one })),
  instances: 25,
  hub: HUB,
  placers: [HUB, FAR_HUB],
  number: 1,
};

const told = (number: number, change: Partial<typeof situation> = {}) =>
  beatRecipients({ ...situation, ...change, number }).map(
    ({ member: { name }, kind }) => `${name} ${HeartbeatKind[kind]}`,
  );

test('few instances tell each other what they use', () => {
  expect(new Set(told(1, { instances: 16 }).map((one) => one.split(' ')[1]))).toEqual(
    new Set(['Own']),
  );
  expect(told(1, { instances: 16 })).toHaveLength(24);
});

test('of many, each reports to the one that gives orders and shows itself to some in turn', () => {
  expect([told(1), told(2), told(5)]).toMatchSnapshot();
});

test('within a few beats each shows itself to all of its failure domain', () => {
  const names = [1, 2, 3, 4].flatMap((number) => told(number)).map((one) => one.split(' ')[0]);
  NEAR.forEach(({ name }) => expect(names).toContain(name));
});

test('who gives orders tells its own failure domain with each beat and all with every second', () => {
  expect(told(1, { isPlacer: true })).toHaveLength(12);
  expect(told(2, { isPlacer: true })).toHaveLength(24);
});

test('without anyone to report to, only presence is shown', () => {
  const kinds = told(1, { hub: undefined as never, placers: [] }).map((one) => one.split(' ')[1]);
  expect(new Set(kinds)).toEqual(new Set(['Presence']));
});
