import { createSocket, type Socket } from 'node:dgram';
import { decode, encode } from '@msgpack/msgpack';
import type { Clock } from '@wisteriapath/model';
import type HeardHeartbeat from './HeardHeartbeat';
import type Heartbeat from './Heartbeat';
import type HeartbeatContent from './HeartbeatContent';
import HeartbeatKind from './HeartbeatKind';
import type EventLog from './EventLog';
import HolderContact from './HolderContact';
import type MemberRecord from './MemberRecord';
import type LoadForecast from './LoadForecast';
import type Moment from './Moment';
import type Peer from './Peer';
import type PeerHandlers from './PeerHandlers';
import PeerMessageKind from './PeerMessageKind';
import type DemandReport from './DemandReport';
import type DigestRow from './DigestRow';
import type PlacementUpdate from './PlacementUpdate';
import type UsageMessage from './UsageMessage';
import type WallClock from './WallClock';
import createPeer from './createPeer';
import createMessageReaders from './createMessageReaders';
import FULL_MESH_MAX_INSTANCES from './fullMeshMaxInstances';
import heartbeatRecipients from './heartbeatRecipients';
import type RecordSpan from './RecordSpan';
import type SuspectMessage from './SuspectMessage';
import batchPlacements from './batchPlacements';
import fitRows from './fitRows';
import heartbeatLease from './heartbeatLease';
import leaseClaimants from './leaseClaimants';
import recordSpanCodec from './recordSpanCodec';

interface Options {
  readonly name: string;
  /** Differs at each start of the process. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly host: string;
  /** UDP port, the same on all instances. */
  readonly port: number;
  readonly heartbeatIntervalMs: number;
  /** Hosts at which peers may run, for use before any peer is known. */
  readonly seedHosts: readonly string[];
}

interface Parts {
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly log: EventLog;
  readonly handlers: PeerHandlers;
  /** Returns what the next heartbeat says, except for the fields that this class adds. */
  readonly heartbeatContent: (kind: HeartbeatKind) => HeartbeatContent;
}

const PROTOCOL_VERSION = 1;
/** Size up to which a datagram fits into one packet. */
const MAX_DATAGRAM_BYTES = 1_200;
/** Size limit of relayed records, whose datagram may be sent in fragments. */
const MAX_TARGETS_BYTES = 48_000;
/** Time without a heartbeat after which a peer no longer counts as live. */
const LIVE_PEER_TIMEOUT_MS = 1_000;
/** Time without a heartbeat after which a peer is removed. */
const PEER_EXPIRY_MS = 30_000;
const MAX_SENT_HEARTBEATS = 32;
/** One in this many heartbeats also goes to the seed hosts at which no peer is known. */
const SEEDING_PERIOD = 5;
/** Age up to which the usage that a peer reported counts as current. */
const USAGE_REPORT_MAX_AGE_MS = 2_000;
/** Time without a heartbeat after which an instance of the same failure domain is no candidate for its lease. */
const CANDIDATE_TIMEOUT_MS = 1_000;
/** The same where instances send heartbeats to each other in round-robin order. */
const ROUND_ROBIN_CANDIDATE_TIMEOUT_MS = 3_000;

/**
 * Exchanges datagrams with the other instances. Lost datagrams are not resent; their content
 * is sent again with the next heartbeat.
 */
class Peers {
  private readonly peers = new Map<string, Peer>();

  private socket: Socket | undefined;

  private timer: NodeJS.Timeout | undefined;

  /** The newest sent heartbeats, oldest first. */
  private readonly sentHeartbeats: (Moment & { readonly number: number })[] = [];

  private readonly contact: HolderContact;

  private readonly readers: ReturnType<typeof createMessageReaders>;

  private heartbeatNumber = 0;

  /** The last heartbeat of a lease holder that was received. */
  private holderHeard: HeardHeartbeat = ['', 0];

  constructor(
    private readonly options: Options,
    private readonly parts: Parts,
  ) {
    this.contact = new HolderContact(parts.clock, options.failureDomain);
    this.readers = createMessageReaders(parts.handlers, (heartbeat) =>
      this.receiveHeartbeat(heartbeat),
    );
  }

  /** Opens the socket and starts to send heartbeats; rejects, and may be called again, if the port cannot be bound. */
  async start(): Promise<void> {
    const socket = createSocket('udp4');
    socket.on('message', (bytes) => this.receive(bytes));
    await new Promise<void>((resolve, reject) => {
      socket.once('error', (error) => {
        socket.close();
        reject(error);
      });
      socket.bind(this.options.port, this.options.host, resolve);
    });
    socket.removeAllListeners('error').on('error', (error) => {
      this.parts.log.event('peer_socket_error', { error: error.message });
    });
    this.socket = socket;
    this.timer = setInterval(() => this.sendHeartbeat(), this.options.heartbeatIntervalMs);
    this.sendHeartbeat();
  }

  /** Stops the heartbeats and closes the socket. */
  stop(): void {
    clearInterval(this.timer);
    this.socket?.close();
    this.socket = undefined;
  }

  /** Adds members that were read from the platform's store. */
  addMembers(members: readonly MemberRecord[]): void {
    members.forEach((member) => {
      if (member.host === this.options.host || this.peers.has(member.name)) return;
      this.addPeer(member, -Infinity);
    });
  }

  /** Peers from which a heartbeat arrived within the last second. */
  get livePeers(): readonly Peer[] {
    return this.peersActiveWithin(LIVE_PEER_TIMEOUT_MS);
  }

  /** Returns the peers from which a heartbeat arrived within `withinMs`. */
  peersActiveWithin(withinMs: number): readonly Peer[] {
    const sinceMs = this.parts.clock.nowMs() - withinMs;
    return [...this.peers.values()].filter(({ lastHeartbeatMs }) => lastHeartbeatMs >= sinceMs);
  }

  /** Whether an instance of a failure domain sent a heartbeat within `withinMs`. */
  hasHeard(failureDomain: string, withinMs: number): boolean {
    return this.peersActiveWithin(withinMs).some(
      ({ member }) => member.failureDomain === failureDomain,
    );
  }

  /** The peers that claim a lease, by its failure domain; of several claims the newest counts. */
  get placers(): ReadonlyMap<string, MemberRecord> {
    return leaseClaimants(this.livePeers);
  }

  /** The newest moment at which no other instance can have begun to take over the lease of this one. */
  get lastContact(): Moment | undefined {
    return this.contact.newest([...this.peers.values()], this.sentHeartbeats);
  }

  /** Sends one heartbeat to the peers whose turn it is, and to `others`. */
  sendHeartbeat(others: readonly Peer[] = []): void {
    const { heartbeatContent, clock, wallClock } = this.parts;
    this.removeExpiredPeers();
    this.heartbeatNumber += 1;
    this.sentHeartbeats.push({
      number: this.heartbeatNumber,
      sentMs: clock.nowMs(),
      sentWallMs: wallClock(),
    });
    if (this.sentHeartbeats.length > MAX_SENT_HEARTBEATS) this.sentHeartbeats.shift();
    const known = [...this.peers.values()];
    const { failureDomain } = this.options;
    const recipients = heartbeatRecipients({
      failureDomain,
      isPlacer: heartbeatLease(heartbeatContent(HeartbeatKind.Presence)) !== undefined,
      peers: known,
      instances: Math.max(1 + known.length, this.instanceCount(USAGE_REPORT_MAX_AGE_MS)),
      usageAggregator: this.usageAggregator,
      placers: [...this.placers.values()],
      heartbeatNumber: this.heartbeatNumber,
      others,
    });
    const bytesOf = new Map<HeartbeatKind, Uint8Array>();
    recipients.forEach(({ member, kind }) => {
      const bytes = bytesOf.get(kind) ?? this.encodeHeartbeat(kind);
      bytesOf.set(kind, bytes);
      this.sendBytes(member.host, bytes);
    });
    if (known.length === 0 || this.heartbeatNumber % SEEDING_PERIOD === 0) this.sendToSeeds();
  }

  /** Sends one heartbeat to the peers whose turn it is, and to all peers of this instance's failure domain. */
  announceStop(): void {
    this.sendHeartbeat(this.domainPeers);
  }

  /** The placer to which this instance reports its usage where the instances form no full mesh. */
  get usageAggregator(): MemberRecord | undefined {
    const { placers } = this;
    const names = [...placers.values()].sort((one, other) => (one.name < other.name ? -1 : 1));
    return placers.get(this.options.failureDomain) ?? names[0];
  }

  /** Peers that may take the lease of this instance's failure domain. */
  get candidates(): readonly Peer[] {
    const isRoundRobin = this.instanceCount(USAGE_REPORT_MAX_AGE_MS) > FULL_MESH_MAX_INSTANCES;
    return this.peersActiveWithin(
      isRoundRobin ? ROUND_ROBIN_CANDIDATE_TIMEOUT_MS : CANDIDATE_TIMEOUT_MS,
    ).filter(({ member }) => this.isLocal(member));
  }

  /** The peers of this instance's failure domain that were heard and have not been silent for long. */
  get domainPeers(): readonly Peer[] {
    return this.peersActiveWithin(PEER_EXPIRY_MS).filter(({ member }) => this.isLocal(member));
  }

  /**
   * Whether a heartbeat's pooled usage includes this instance's own, unless this instance is a
   * placer.
   */
  isOwnUsageIncluded({ member, kind }: Heartbeat): boolean {
    return kind === HeartbeatKind.Pooled && member.name === this.usageAggregator?.name;
  }

  /**
   * Returns the number of instances, this one included, that the heartbeats within `withinMs`
   * report on.
   */
  instanceCount(withinMs: number): number {
    const active = this.peersActiveWithin(withinMs);
    const reported = active.reduce((sum, { counted }) => sum + counted, 0);
    const aggregatorName = this.usageAggregator?.name;
    const isCounted = active.some(
      ({ member, counted }) => member.name === aggregatorName && counted > 1,
    );
    return reported + (isCounted ? 0 : 1);
  }

  sendDemand(host: string, report: DemandReport): void {
    this.send(host, PeerMessageKind.Demand, report);
  }

  sendUsage(host: string, message: UsageMessage): void {
    this.send(host, PeerMessageKind.Usage, message);
  }

  sendLeavingTargets(targets: readonly (readonly [string, number])[]): void {
    this.broadcast(PeerMessageKind.LeavingTargets, targets);
  }

  /** Sends what is known of requests that crash targets to `host`, or to all peers. */
  sendSuspects(message: SuspectMessage, host?: string): void {
    if (host === undefined) this.broadcast(PeerMessageKind.Suspects, message);
    else this.send(host, PeerMessageKind.Suspects, message);
  }

  /**
   * Relays records of the targets. Skips a span that is too long for a datagram; the peers notice
   * that they lack it.
   */
  sendTargets(span: RecordSpan): void {
    const payload = [this.options.name, recordSpanCodec.encode(span)];
    const bytes = encode([PROTOCOL_VERSION, PeerMessageKind.Targets, payload]);
    if (bytes.length <= MAX_TARGETS_BYTES) this.broadcastBytes(bytes);
  }

  /** Sends a forecast of loads to `host`. */
  sendForecast(forecast: LoadForecast, host: string): void {
    this.send(host, PeerMessageKind.Forecast, forecast);
  }

  /** Sends placement updates to `host`, or to all peers, in as many datagrams as needed. */
  sendPlacement(updates: readonly PlacementUpdate[], host?: string): void {
    batchPlacements(updates, MAX_DATAGRAM_BYTES).forEach((batch) => {
      if (host === undefined) this.broadcast(PeerMessageKind.Placement, batch);
      else this.send(host, PeerMessageKind.Placement, batch);
    });
  }

  /**
   * Sends the first rows of a digest to the live instances of this failure domain, as many as fit into one datagram,
   * and passes them to this instance.
   */
  sendTargetDigest(rows: readonly DigestRow[]): void {
    const sent = fitRows(rows, MAX_DATAGRAM_BYTES);
    const bytes = encode([PROTOCOL_VERSION, PeerMessageKind.TargetDigest, sent]);
    this.livePeers
      .filter(({ member }) => this.isLocal(member))
      .forEach(({ member }) => this.sendBytes(member.host, bytes));
    this.parts.handlers.targetDigest(sent);
  }

  private isLocal({ failureDomain }: MemberRecord): boolean {
    return failureDomain === this.options.failureDomain;
  }

  private encodeHeartbeat(kind: HeartbeatKind): Uint8Array {
    const { heartbeatNumber: number, holderHeard } = this;
    const reporting = () =>
      this.peersActiveWithin(USAGE_REPORT_MAX_AGE_MS).filter((peer) => peer.counted === 1);
    const counted: Record<HeartbeatKind, () => number> = {
      [HeartbeatKind.Presence]: () => 0,
      [HeartbeatKind.Own]: () => 1,
      [HeartbeatKind.Pooled]: () => 1 + reporting().length,
    };
    const placers = kind === HeartbeatKind.Own ? [] : [...this.placers.values()];
    const ownFields = { kind, counted: counted[kind](), number, holderHeard, placers };
    const heartbeat: Heartbeat = { ...this.parts.heartbeatContent(kind), ...ownFields };
    return encode([PROTOCOL_VERSION, PeerMessageKind.Heartbeat, heartbeat]);
  }

  /**
   * Sends a heartbeat to the seed hosts at which no peer is known, so that these learn of this
   * instance.
   */
  private sendToSeeds(): void {
    const known = new Set([this.options.host, ...this.hosts]);
    const unknown = this.options.seedHosts.filter((host) => !known.has(host));
    if (unknown.length === 0) return;
    const bytes = this.encodeHeartbeat(HeartbeatKind.Own);
    unknown.forEach((host) => this.sendBytes(host, bytes));
  }

  private broadcast(kind: PeerMessageKind, payload: unknown): void {
    this.broadcastBytes(encode([PROTOCOL_VERSION, kind, payload]));
  }

  private broadcastBytes(bytes: Uint8Array): void {
    const hosts = new Set([...this.hosts, ...this.options.seedHosts]);
    hosts.delete(this.options.host);
    hosts.forEach((host) => this.sendBytes(host, bytes));
  }

  /** Hosts of all known peers. */
  private get hosts(): readonly string[] {
    return [...this.peers.values()].map(({ member }) => member.host);
  }

  private send(host: string, kind: PeerMessageKind, payload: unknown): void {
    this.sendBytes(host, encode([PROTOCOL_VERSION, kind, payload]));
  }

  private sendBytes(host: string, bytes: Uint8Array): void {
    // Errors are ignored: lost content is sent again with the next heartbeat.
    this.socket?.send(bytes, this.options.port, host, () => {});
  }

  private receive(bytes: Uint8Array): void {
    try {
      const [version, kind, payload] = decode(bytes) as [number, PeerMessageKind, never];
      // Kinds of later builds are ignored.
      if (version === PROTOCOL_VERSION) this.readers[kind]?.(payload);
    } catch (error) {
      this.parts.log.event('peer_datagram_unreadable', { error: (error as Error).message });
    }
  }

  private receiveHeartbeat(heartbeat: Heartbeat): void {
    const { member } = heartbeat;
    const known = this.peers.get(member.name);
    const peer =
      known?.member.incarnation === member.incarnation
        ? known
        : this.addPeer(member, this.parts.clock.nowMs());
    // Datagrams may overtake each other.
    if (heartbeat.number < peer.newestNumber) return;
    peer.newestNumber = heartbeat.number;
    peer.lastHeartbeatMs = this.parts.clock.nowMs();
    peer.lastHeartbeatWallMs = this.parts.wallClock();
    this.contact.notePeer(member);
    peer.isStopping = heartbeat.isStopping;
    // Instances of an earlier build do not say.
    peer.isReady = heartbeat.isReady ?? !heartbeat.isStopping;
    peer.reachesStore = heartbeat.reachesStore ?? true;
    peer.lease = heartbeatLease(heartbeat);
    peer.counted = heartbeat.counted;
    const isLocalHolder = this.isLocal(member) && peer.lease !== undefined;
    if (isLocalHolder) this.holderHeard = [member.name, heartbeat.number, member.incarnation];
    const [holder, number, incarnation] = heartbeat.holderHeard;
    const isOwn = holder === this.options.name && incarnation === this.options.incarnation;
    if (isOwn) peer.ackedNumber = Math.max(peer.ackedNumber, number);
    this.announceToPlacers(heartbeat.placers);
    this.parts.handlers.heartbeat(heartbeat);
  }

  /**
   * Sends a heartbeat to placers that send no heartbeats to this instance, as they may not know of
   * it.
   */
  private announceToPlacers(placers: readonly MemberRecord[]): void {
    const liveHosts = new Set(this.livePeers.map(({ member }) => member.host));
    const silent = placers.filter(({ host }) => host !== this.options.host && !liveHosts.has(host));
    if (silent.length === 0) return;
    const bytes = this.encodeHeartbeat(HeartbeatKind.Presence);
    silent.forEach(({ host }) => this.sendBytes(host, bytes));
  }

  private addPeer(member: MemberRecord, lastHeartbeatMs: number): Peer {
    const peer = createPeer(member, {
      lastHeartbeatMs,
      lastHeartbeatWallMs: this.parts.wallClock(),
    });
    this.peers.set(member.name, peer);
    this.contact.notePeer(member);
    const { name, host, incarnation } = member;
    this.parts.log.event('peer_learned', { peer: name, host, incarnation });
    return peer;
  }

  private removeExpiredPeers(): void {
    const beforeMs = this.parts.clock.nowMs() - PEER_EXPIRY_MS;
    this.peers.forEach(({ lastHeartbeatMs }, name) => {
      if (lastHeartbeatMs !== -Infinity && lastHeartbeatMs < beforeMs) this.peers.delete(name);
    });
  }
}

export default Peers;
