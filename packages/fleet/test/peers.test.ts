/** Instances on loopback addresses discover each other, however late one of them starts. */
import { createSocket } from 'node:dgram';
import { encode } from '@msgpack/msgpack';
import { systemClock } from '@wisteriapath/model';
import { DemandAggregator, type DigestRow, PeerMessageKind, type Peers } from '../src';
import loopbackPeers from './support/loopbackPeers';

const {
  DOMAINS,
  INSTANCES_PER_DOMAIN,
  HEARTBEAT_INTERVAL_MS,
  MEMBERS,
  freePort,
  heartbeatOf,
  startPeers,
} = loopbackPeers;
const LONG_MS = 10_000;

test('a heartbeat that arrives after a newer one of the same run is ignored', async () => {
  const port = await freePort();
  const [self, peer] = MEMBERS;
  const heard: number[] = [];
  const peers = await startPeers(self, port, {
    heartbeat: ({ number }) => heard.push(number),
  });
  const socket = createSocket('udp4');
  const send = (number: number) =>
    socket.send(encode([1, PeerMessageKind.Heartbeat, heartbeatOf(peer, number)]), port, self.host);
  try {
    [7, 9, 8, 9, 10].forEach((number) => send(number));
    const deadlineMs = Date.now() + 5_000;
    while (!heard.includes(10) && Date.now() < deadlineMs) await systemClock.sleep(20);
    expect(heard).toEqual([7, 9, 9, 10]);
  } finally {
    socket.close();
    peers.stop();
  }
});

test.each([
  { what: 'a host that is none', member: { host: 5 } },
  { what: 'no name', member: { name: null } },
  { what: 'a count that is none', more: { counted: 'x' } },
  { what: 'a count below 0', more: { counted: -1 } },
  { what: 'a count of a part', more: { counted: 0.5 } },
  { what: 'a count beyond any fleet', more: { counted: 1e300 } },
  { what: 'an offset that is none', more: { targetsOffset: Infinity } },
  { what: 'an era of the lease that is none', more: { leaseEra: 'x' } },
  { what: 'an era of the operator that is none', more: { operatorEra: 'x' } },
  { what: 'an era of the targets that is none', more: { targetsEra: 0.5 } },
  { what: 'an age of the operator below 0', more: { operatorReadAgeMs: -1 } },
  { what: 'no placers', more: { placers: null } },
  { what: 'a placer without a host', more: { placers: [{ name: 'b0' }] } },
])('a heartbeat with $what leaves the sending and counting of others as it was', async (bad) => {
  const port = await freePort();
  const [self, peer, other] = MEMBERS;
  const heard: string[] = [];
  const peers = await startPeers(self, port, {
    heartbeat: ({ member }) => heard.push(member.name),
  });
  const socket = createSocket('udp4');
  const send = (heartbeat: object) =>
    socket.send(encode([1, PeerMessageKind.Heartbeat, heartbeat]), port, self.host);
  try {
    const whole = heartbeatOf(other, 1);
    send({ ...whole, ...bad.more, member: { ...other, ...bad.member } });
    send(heartbeatOf(peer, 1));
    const deadlineMs = Date.now() + 5_000;
    while (!heard.includes(peer.name) && Date.now() < deadlineMs) await systemClock.sleep(20);
    expect(heard).toEqual([peer.name]);
    expect(peers.instanceCount(LONG_MS)).toBe(2);
    expect(() => peers.sendHeartbeat()).not.toThrow();
  } finally {
    socket.close();
    peers.stop();
  }
});

const POOL = 'engines';
const DEMAND = {
  pool: POOL,
  model: 'm',
  adapter: null,
  waiting: 1,
  waitedMs: 0,
  latencyTargetMs: 200,
};
const REPORT = { waiting: [DEMAND], rates: [], unreachable: [], running: [] };

test.each([
  { what: 'a number for its list', report: { waiting: 7 } },
  { what: 'an entry that is none', report: { waiting: [null] } },
  { what: 'a count that is none', report: { waiting: [{ ...DEMAND, waiting: 'x' }] } },
  { what: 'a time that is none', report: { waiting: [{ ...DEMAND, leftMs: 'x' }] } },
  { what: 'a time that is no number', report: { waiting: [{ ...DEMAND, leftMs: NaN }] } },
  { what: 'a count beyond all', report: { waiting: [{ ...DEMAND, waiting: Infinity }] } },
  { what: 'an adapter that is none', report: { waiting: [{ ...DEMAND, adapter: 5 }] } },
  { what: 'no engines out of reach', report: { unreachable: null } },
  { what: 'rates that are none', report: { rates: 7 } },
  { what: 'a rate below 0', report: { rates: [[POOL, 'm', '', -1]] } },
  { what: 'a rate without its model', report: { rates: [[POOL, 1]] } },
  { what: 'no running requests', report: { running: undefined } },
  { what: 'running requests that are none', report: { running: [7] } },
  { what: 'nothing at all', report: null },
])('a demand report with $what leaves planning as it was', async ({ report }) => {
  const port = await freePort();
  const [self, peer, other] = MEMBERS;
  const aggregator = new DemandAggregator(systemClock);
  const heard: string[] = [];
  const peers = await startPeers(self, port, {
    demand: (received) => {
      aggregator.record(received);
      heard.push(received.instance);
    },
  });
  const socket = createSocket('udp4');
  const send = (payload: unknown) =>
    socket.send(encode([1, PeerMessageKind.Demand, payload]), port, self.host);
  try {
    send(report === null ? null : { ...REPORT, instance: other.host, ...report });
    send({ ...REPORT, instance: peer.host });
    const deadlineMs = Date.now() + 5_000;
    while (!heard.includes(peer.host) && Date.now() < deadlineMs) await systemClock.sleep(20);
    expect(heard).toEqual([peer.host]);
    expect(aggregator.snapshot(POOL).waiting).toEqual([DEMAND]);
  } finally {
    socket.close();
    peers.stop();
  }
});

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

test('all instances of a failure domain hear of a stop at once, also where only some hear each heartbeat', async () => {
  const port = await freePort();
  const stopping = new Set<string>();
  const all = await Promise.all(
    MEMBERS.map((member) => startPeers(member, port, {}, () => stopping.has(member.name))),
  );
  try {
    all.forEach((peers) => peers.addMembers(MEMBERS));
    const deadlineMs = Date.now() + 10_000;
    const neighbours = all.slice(1, INSTANCES_PER_DOMAIN);
    const hasHeardAll = () =>
      neighbours.every(({ domainPeers }) => domainPeers.length === INSTANCES_PER_DOMAIN - 1);
    while (!hasHeardAll() && Date.now() < deadlineMs) await systemClock.sleep(20);
    const [, last] = MEMBERS;
    stopping.add(last.name);
    all[1].announceStop();
    const others = [all[0], ...neighbours.slice(1)];
    const hears = ({ candidates }: Peers) =>
      candidates.some(
        ({ member, isStopping, isReady }) => member.name === last.name && isStopping && !isReady,
      );
    // No further heartbeat tells the rest.
    await systemClock.sleep(HEARTBEAT_INTERVAL_MS / 8);
    all[1].stop();
    while (!others.every(hears) && Date.now() < deadlineMs) await systemClock.sleep(20);
    expect(others.filter(hears).length).toBe(others.length);
  } finally {
    all.forEach((peers) => peers.stop());
  }
});

test.each([
  { what: 'says so', isReady: true, isStopping: false, isHeardReady: true },
  { what: 'says that it is not', isReady: false, isStopping: false, isHeardReady: false },
  { what: 'is of an earlier build and serves', isStopping: false, isHeardReady: true },
  { what: 'is of an earlier build and stops', isStopping: true, isHeardReady: false },
])('a peer counts as ready or not if it $what', async ({ isHeardReady, ...more }) => {
  const port = await freePort();
  const [self, peer] = MEMBERS;
  const peers = await startPeers(self, port);
  const socket = createSocket('udp4');
  const bytes = encode([1, PeerMessageKind.Heartbeat, Object.assign(heartbeatOf(peer, 1), more)]);
  try {
    socket.send(bytes, port, self.host);
    const deadlineMs = Date.now() + 5_000;
    while (peers.domainPeers.length === 0 && Date.now() < deadlineMs) await systemClock.sleep(20);
    expect(peers.domainPeers.map(({ isReady }) => isReady)).toEqual([isHeardReady]);
  } finally {
    socket.close();
    peers.stop();
  }
});

test('a digest goes to the live instances of its failure domain only, as many rows as one datagram holds', async () => {
  const port = await freePort();
  const [self, peer] = MEMBERS;
  const foreign = MEMBERS[INSTANCES_PER_DOMAIN];
  const heard: Record<string, (readonly DigestRow[])[]> = {};
  const all = await Promise.all(
    [self, peer, foreign].map((member) => {
      heard[member.name] = [];
      return startPeers(member, port, {
        targetDigest: (rows) => heard[member.name].push(rows),
      });
    }),
  );
  try {
    all.forEach((peers) => peers.addMembers([self, peer, foreign]));
    const deadlineMs = Date.now() + 5_000;
    while (all[0].livePeers.length < 2 && Date.now() < deadlineMs) await systemClock.sleep(20);
    const rows = Array.from({ length: 500 }, (_, index): DigestRow => [
      `engine-${index}`,
      250,
      3,
      250,
      1_764_000_000_000,
    ]);
    all[0].sendTargetDigest(rows);
    while (heard[peer.name].length === 0 && Date.now() < deadlineMs) await systemClock.sleep(20);
    await systemClock.sleep(100);
    const [received] = heard[peer.name];
    expect(received).toEqual(rows.slice(0, received.length));
    expect(received.length).toBeGreaterThan(20);
    expect(encode([1, PeerMessageKind.TargetDigest, received]).length).toBeLessThanOrEqual(1_200);
    expect(heard[self.name]).toEqual([received]);
    expect(heard[foreign.name]).toEqual([]);
  } finally {
    all.forEach((peers) => peers.stop());
  }
});
