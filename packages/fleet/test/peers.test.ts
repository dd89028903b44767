/** Instances on loopback addresses discover each other, however late one of them starts. */
import { createSocket } from 'node:dgram';
import { systemClock } from '@wisteriapath/model';
import { type HeartbeatContent, type MemberRecord, Peers } from '../src';

const DOMAINS = ['a', 'b'];
const INSTANCES_PER_DOMAIN = 10;

const freePort = (): Promise<number> =>
  new Promise((resolve) => {
    const socket = createSocket('udp4');
    socket.bind(0, '127.0.0.1', () => {
      const { port } = socket.address();
      socket.close(() => resolve(port));
    });
  });

const MEMBERS: readonly MemberRecord[] = DOMAINS.flatMap((failureDomain, domain) =>
  Array.from({ length: INSTANCES_PER_DOMAIN }, (_, index) => ({
    name: `${failureDomain}${index}`,
    incarnation: '1',
    failureDomain,
    host: `127.0.${domain + 1}.${index + 1}`,
    cores: 1,
  })),
);

const startPeers = async (member: MemberRecord, port: number): Promise<Peers> => {
  const isPlacer = member.name.endsWith('0');
  const content: HeartbeatContent = {
    member,
    operatorOffset: 0,
    targetsOffset: 0,
    reachesStore: true,
    leavingTargets: [],
    leaseOffset: isPlacer ? 1 : -1,
    isStopping: false,
    usage: [],
  };
  const peers = new Peers(
    {
      name: member.name,
      failureDomain: member.failureDomain,
      host: member.host,
      port,
      heartbeatIntervalMs: 40,
      seedHosts: [],
    },
    {
      clock: systemClock,
      wallClock: Date.now,
      log: { event: () => {} },
      heartbeatContent: () => content,
      handlers: {
        heartbeat: () => {},
        demand: () => {},
        placement: () => {},
        targets: () => {},
        suspects: () => {},
        leavingTargets: () => {},
      },
    },
  );
  await peers.start();
  return peers;
};

test('an instance that is unknown to all others discovers all placers', async () => {
  const port = await freePort();
  const early = MEMBERS.slice(0, -1);
  const late = MEMBERS[MEMBERS.length - 1];
  const all = await Promise.all(early.map((member) => startPeers(member, port)));
  all.forEach((peers) => peers.addMembers(early));
  await systemClock.sleep(600);
  const last = await startPeers(late, port);
  // From the store it knows only the instances of its own failure domain, without the placer.
  last.addMembers(
    early.filter(({ failureDomain, name }) => failureDomain === 'b' && name !== 'b0'),
  );
  const deadlineMs = Date.now() + 20_000;
  while (last.placers.size < DOMAINS.length && Date.now() < deadlineMs) await systemClock.sleep(20);
  expect([...last.placers.keys()].sort()).toEqual(DOMAINS);
  expect(last.instanceCount(2_000)).toBeGreaterThan(INSTANCES_PER_DOMAIN);
  [...all, last].forEach((peers) => peers.stop());
});
