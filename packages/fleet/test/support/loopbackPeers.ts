import { createSocket } from 'node:dgram';
import { systemClock } from '@wisteriapath/model';
import {
  type Heartbeat,
  type HeartbeatContent,
  HeartbeatKind,
  type MemberRecord,
  type PeerHandlers,
  Peers,
} from '../../src';

const DOMAINS = ['a', 'b'];
const INSTANCES_PER_DOMAIN = 10;
const HEARTBEAT_INTERVAL_MS = 40;

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

const contentOf = (member: MemberRecord): HeartbeatContent => ({
  member,
  operatorOffset: 0,
  targetsOffset: 0,
  reachesStore: true,
  leavingTargets: [],
  suspects: null,
  leaseOffset: -1,
  isStopping: false,
  usage: [],
});

const heartbeatOf = (member: MemberRecord, number: number): Heartbeat => ({
  ...contentOf(member),
  number,
  holderHeard: ['', 0],
  kind: HeartbeatKind.Own,
  placers: [],
  counted: 1,
});

const startPeers = async (
  member: MemberRecord,
  port: number,
  handlers: Partial<PeerHandlers> = {},
  isStopping = () => false,
): Promise<Peers> => {
  const isPlacer = member.name.endsWith('0');
  const content = { ...contentOf(member), leaseOffset: isPlacer ? 1 : -1 };
  const peers = new Peers(
    {
      name: member.name,
      incarnation: member.incarnation,
      failureDomain: member.failureDomain,
      host: member.host,
      port,
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      seedHosts: [],
    },
    {
      clock: systemClock,
      wallClock: Date.now,
      log: { event: () => {} },
      heartbeatContent: () => ({ ...content, isStopping: isStopping(), isReady: !isStopping() }),
      handlers: {
        heartbeat: () => {},
        demand: () => {},
        placement: () => {},
        forecast: () => {},
        targets: () => {},
        suspects: () => {},
        leavingTargets: () => {},
        targetDigest: () => {},
        ...handlers,
      },
    },
  );
  await peers.start();
  return peers;
};

/** Instances on loopback addresses, ten in each of two domains; those whose name ends with 0 are placers. */
const loopbackPeers = {
  DOMAINS,
  INSTANCES_PER_DOMAIN,
  HEARTBEAT_INTERVAL_MS,
  MEMBERS,
  freePort,
  heartbeatOf,
  startPeers,
};

export default loopbackPeers;
