import { createSocket, type Socket } from 'node:dgram';
import { decode, encode } from '@msgpack/msgpack';
import type { Clock } from '@wisteriapath/model';
import type Heartbeat from './Heartbeat';
import type HeartbeatContent from './HeartbeatContent';
import HeartbeatKind from './HeartbeatKind';
import type EventLog from './EventLog';
import type MemberRecord from './MemberRecord';
import type PeerHandlers from './PeerHandlers';
import PeerMessageKind from './PeerMessageKind';
import type DemandReport from './DemandReport';
import type PlacementUpdate from './PlacementUpdate';
import type TargetUpdate from './TargetUpdate';
import type WallClock from './WallClock';
import beatRecipients from './beatRecipients';
import MESH_INSTANCES from './meshInstances';
import targetCodec from './targetCodec';

interface Options {
  readonly name: string;
  readonly failureDomain: string;
  readonly host: string;
  /** The same on all instances. */
  readonly port: number;
  readonly heartbeatIntervalMs: number;
  /** Hosts at which peers may be before any is known. */
  readonly seedHosts: readonly string[];
}

interface Parts {
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly log: EventLog;
  readonly handlers: PeerHandlers;
  /** What the next beat says, but for what is known here. */
  readonly heartbeatContent: (kind: HeartbeatKind) => HeartbeatContent;
}

interface Peer {
  readonly member: MemberRecord;
  heardMs: number;
  isStopping: boolean;
  leaseOffset: number;
  /** Instances whose use its beats tell. */
  counted: number;
  /** Newest beat of this instance that the peer heard while this instance gave orders. */
  ackedBeat: number;
}

/** When a beat was sent, on both clocks. */
interface SentBeat {
  readonly number: number;
  readonly sentMs: number;
  readonly sentWallMs: number;
}

type PackedNews = Omit<TargetUpdate, 'targets'> & {
  readonly targets: readonly ReturnType<typeof targetCodec.pack>[];
};

const PROTOCOL_VERSION = 1;
/** Bytes of one datagram that fit a packet. */
const DATAGRAM_BYTES = 1_200;
/** Most bytes of one datagram, which is sent in fragments. */
const NEWS_BYTES = 48_000;
const APPROXIMATE_PLACEMENT_BYTES = 60;
const APPROXIMATE_MODEL_BYTES = 40;
/** Silence after which a peer no longer counts as being heard. */
const FRESH_MS = 1_000;
/** Silence after which a peer is dropped. */
const FORGET_MS = 30_000;
const BEATS_REMEMBERED = 32;
/** Beats of which one goes to the seed hosts at which no peer is known. */
const SEEDS_EVERY = 5;
/** Age up to which what a peer reports counts as its use now. */
const REPORT_COUNTS_MS = 2_000;
/** Silence after which an instance of the own failure domain is no candidate for its lease. */
const CANDIDATE_MS = 1_000;
/** The same where instances show themselves to each other in turn. */
const CANDIDATE_IN_TURN_MS = 3_000;

/** Exchanges datagrams with the other instances. What is lost is sent anew with the next beat. */
class Peers {
  private readonly peers = new Map<string, Peer>();

  private socket: Socket | undefined;

  private timer: NodeJS.Timeout | undefined;

  private readonly sent: SentBeat[] = [];

  private beatNumber = 0;

  private holderHeard: readonly [string, number] = ['', 0];

  constructor(
    private readonly options: Options,
    private readonly parts: Parts,
  ) {}

  async start(): Promise<void> {
    const socket = createSocket('udp4');
    this.socket = socket;
    socket.on('message', (bytes) => this.receive(bytes));
    socket.on('error', (error) => {
      this.parts.log.event('peer_socket_error', { error: error.message });
    });
    await new Promise<void>((resolve) => {
      socket.bind(this.options.port, this.options.host, resolve);
    });
    this.timer = setInterval(() => this.sendHeartbeat(), this.options.heartbeatIntervalMs);
    this.sendHeartbeat();
  }

  stop(): void {
    clearInterval(this.timer);
    this.socket?.close();
    this.socket = undefined;
  }

  /** Takes in members from the platform's store. */
  addMembers(members: readonly MemberRecord[]): void {
    members.forEach((member) => {
      if (member.host === this.options.host || this.peers.has(member.name)) return;
      this.remember(member, -Infinity);
    });
  }

  /** Peers heard within the last second. */
  get heard(): readonly Peer[] {
    return this.heardWithin(FRESH_MS);
  }

  /** Peers heard within `withinMs`. */
  heardWithin(withinMs: number): readonly Peer[] {
    const sinceMs = this.parts.clock.nowMs() - withinMs;
    return [...this.peers.values()].filter(({ heardMs }) => heardMs >= sinceMs);
  }

  /** The peers that say they give orders, by failure domain; the newest claim counts. */
  get placers(): ReadonlyMap<string, MemberRecord> {
    const claims = this.heard.filter(({ leaseOffset }) => leaseOffset >= 0);
    claims.sort((one, other) => one.leaseOffset - other.leaseOffset);
    return new Map(claims.map(({ member }) => [member.failureDomain, member]));
  }

  /**
   * The oldest of the newest beats that each peer of this failure domain has heard of this instance as
   * the one that gives orders; undefined if some peer has heard none lately. Only these may take over,
   * and none does before this instance has been silent.
   */
  get acknowledgedHeartbeat(): SentBeat | undefined {
    const peers = [...this.peers.values()].filter(
      ({ member, heardMs, isStopping }) =>
        member.failureDomain === this.options.failureDomain && heardMs !== -Infinity && !isStopping,
    );
    if (peers.length === 0) return undefined;
    const oldest = Math.min(...peers.map(({ ackedBeat }) => ackedBeat));
    return this.sent.find(({ number }) => number === oldest);
  }

  sendHeartbeat(): void {
    const { heartbeatContent: beat, clock, wallClock } = this.parts;
    this.forgetSilent();
    this.beatNumber += 1;
    this.sent.push({ number: this.beatNumber, sentMs: clock.nowMs(), sentWallMs: wallClock() });
    if (this.sent.length > BEATS_REMEMBERED) this.sent.shift();
    const known = [...this.peers.values()];
    const { failureDomain } = this.options;
    const isPlacer = beat(HeartbeatKind.Presence).leaseOffset >= 0;
    const recipients = beatRecipients({
      failureDomain,
      isPlacer,
      peers: known,
      instances: Math.max(1 + known.length, this.instances(REPORT_COUNTS_MS)),
      hub: this.hub,
      placers: [...this.placers.values()],
      number: this.beatNumber,
    });
    const bytesOf = new Map<HeartbeatKind, Uint8Array>();
    recipients.forEach(({ member, kind }) => {
      const bytes = bytesOf.get(kind) ?? this.encodeBeat(kind);
      bytesOf.set(kind, bytes);
      this.sendBytes(member.host, bytes);
    });
    if (known.length === 0 || this.beatNumber % SEEDS_EVERY === 0) this.beatToSeeds();
  }

  /** The peer that gathers what this instance uses, where not all tell each other. */
  get hub(): MemberRecord | undefined {
    const { placers } = this;
    const names = [...placers.values()].sort((one, other) => (one.name < other.name ? -1 : 1));
    return placers.get(this.options.failureDomain) ?? names[0];
  }

  /** Peers that may take the lease of this instance's failure domain. */
  get candidates(): readonly Peer[] {
    const isInTurn = this.instances(REPORT_COUNTS_MS) > MESH_INSTANCES;
    return this.heardWithin(isInTurn ? CANDIDATE_IN_TURN_MS : CANDIDATE_MS).filter(
      ({ member }) => member.failureDomain === this.options.failureDomain,
    );
  }

  /** Whether what a peer gathered includes what this instance reports, unless it gives orders itself. */
  isOwnUsageIncluded({ member, kind }: Heartbeat): boolean {
    return kind === HeartbeatKind.Pooled && member.name === this.hub?.name;
  }

  /** Instances, this one included, of which the beats within `withinMs` tell. */
  instances(withinMs: number): number {
    const heard = this.heardWithin(withinMs);
    const told = heard.reduce((sum, { counted }) => sum + counted, 0);
    const hub = this.hub?.name;
    const isCounted = heard.some(({ member, counted }) => member.name === hub && counted > 1);
    return told + (isCounted ? 0 : 1);
  }

  sendDemand(host: string, request: DemandReport): void {
    this.send(host, PeerMessageKind.Demand, request);
  }

  sendSuspects(pairs: readonly (readonly [string, string])[]): void {
    this.toAll(PeerMessageKind.Suspects, pairs);
  }

  /** Passes on what changed among the targets; what is too long the peers read themselves. */
  sendTargets(news: TargetUpdate): void {
    const packed: PackedNews = { ...news, targets: news.targets.map(targetCodec.pack) };
    const bytes = encode([PROTOCOL_VERSION, PeerMessageKind.Targets, packed]);
    if (bytes.length <= NEWS_BYTES) this.sendToAll(bytes);
  }

  /** Sends what the placer knows, in as many datagrams as it takes. */
  sendPlacement(updates: readonly PlacementUpdate[], host?: string): void {
    let batch: PlacementUpdate[] = [];
    let bytes = 0;
    const flush = () => {
      if (batch.length === 0) return;
      if (host === undefined) this.toAll(PeerMessageKind.Placement, batch);
      else this.send(host, PeerMessageKind.Placement, batch);
      batch = [];
      bytes = 0;
    };
    updates.forEach((update) => {
      batch.push(update);
      const names = update.models.flatMap(([, adapters]) => adapters).length;
      bytes += APPROXIMATE_PLACEMENT_BYTES + APPROXIMATE_MODEL_BYTES * update.models.length;
      bytes += names * 4;
      if (bytes >= DATAGRAM_BYTES) flush();
    });
    flush();
  }

  private encodeBeat(kind: HeartbeatKind): Uint8Array {
    const { beatNumber: number, holderHeard } = this;
    const reporting = () => this.heardWithin(REPORT_COUNTS_MS).filter((peer) => peer.counted === 1);
    const counted: Record<HeartbeatKind, () => number> = {
      [HeartbeatKind.Presence]: () => 0,
      [HeartbeatKind.Own]: () => 1,
      [HeartbeatKind.Pooled]: () => 1 + reporting().length,
    };
    const placers = kind === HeartbeatKind.Own ? [] : [...this.placers.values()];
    const told = { kind, counted: counted[kind](), number, holderHeard, placers };
    const beat: Heartbeat = { ...this.parts.heartbeatContent(kind), ...told };
    return encode([PROTOCOL_VERSION, PeerMessageKind.Beat, beat]);
  }

  /** Shows this instance to those that may know more. */
  private beatToSeeds(): void {
    const known = new Set([this.options.host, ...this.hosts]);
    const unknown = this.options.seedHosts.filter((host) => !known.has(host));
    if (unknown.length === 0) return;
    const bytes = this.encodeBeat(HeartbeatKind.Own);
    unknown.forEach((host) => this.sendBytes(host, bytes));
  }

  private toAll(kind: PeerMessageKind, payload: unknown): void {
    this.sendToAll(encode([PROTOCOL_VERSION, kind, payload]));
  }

  private sendToAll(bytes: Uint8Array): void {
    const hosts = new Set([...this.hosts, ...this.options.seedHosts]);
    hosts.delete(this.options.host);
    hosts.forEach((host) => this.sendBytes(host, bytes));
  }

  /** Hosts of all peers known. */
  private get hosts(): readonly string[] {
    return [...this.peers.values()].map(({ member }) => member.host);
  }

  private send(host: string, kind: PeerMessageKind, payload: unknown): void {
    this.sendBytes(host, encode([PROTOCOL_VERSION, kind, payload]));
  }

  private sendBytes(host: string, bytes: Uint8Array): void {
    // What is lost is sent anew with the next beat.
    this.socket?.send(bytes, this.options.port, host, () => {});
  }

  private receive(bytes: Uint8Array): void {
    try {
      const [version, kind, payload] = decode(bytes) as [number, PeerMessageKind, never];
      if (version !== PROTOCOL_VERSION) return;
      this.dispatch(kind, payload);
    } catch (error) {
      this.parts.log.event('peer_datagram_unreadable', { error: (error as Error).message });
    }
  }

  private dispatch(kind: PeerMessageKind, payload: never): void {
    const { handlers } = this.parts;
    const table: Record<PeerMessageKind, () => void> = {
      [PeerMessageKind.Beat]: () => this.receiveBeat(payload),
      [PeerMessageKind.Demand]: () => handlers.demand(payload),
      [PeerMessageKind.Placement]: () => handlers.placement(payload as PlacementUpdate[]),
      [PeerMessageKind.Targets]: () => this.receiveTargets(payload),
      [PeerMessageKind.Suspects]: () => handlers.suspects(payload),
    };
    table[kind]?.();
  }

  private receiveTargets({ targets, ...rest }: PackedNews): void {
    this.parts.handlers.targets({ ...rest, targets: targets.map(targetCodec.unpack) });
  }

  private receiveBeat(beat: Heartbeat): void {
    const { member } = beat;
    const known = this.peers.get(member.name);
    const peer =
      known?.member.incarnation === member.incarnation
        ? known
        : this.remember(member, this.parts.clock.nowMs());
    peer.heardMs = this.parts.clock.nowMs();
    peer.isStopping = beat.isStopping;
    peer.leaseOffset = beat.leaseOffset;
    peer.counted = beat.counted;
    const isNear = member.failureDomain === this.options.failureDomain;
    if (isNear && beat.leaseOffset >= 0) this.holderHeard = [member.name, beat.number];
    const [holder, number] = beat.holderHeard;
    if (holder === this.options.name) peer.ackedBeat = Math.max(peer.ackedBeat, number);
    this.greet(beat.placers);
    this.parts.handlers.heartbeat(beat);
  }

  /** Shows this instance to those that give orders and do not know of it. */
  private greet(placers: readonly MemberRecord[]): void {
    const heard = new Set(this.heard.map(({ member }) => member.host));
    const silent = placers.filter(({ host }) => host !== this.options.host && !heard.has(host));
    if (silent.length === 0) return;
    const bytes = this.encodeBeat(HeartbeatKind.Presence);
    silent.forEach(({ host }) => this.sendBytes(host, bytes));
  }

  private remember(member: MemberRecord, heardMs: number): Peer {
    const peer = {
      member,
      heardMs,
      isStopping: false,
      leaseOffset: -1,
      counted: 0,
      ackedBeat: 0,
    };
    this.peers.set(member.name, peer);
    const { name, host, incarnation } = member;
    this.parts.log.event('peer_learned', { peer: name, host, incarnation });
    return peer;
  }

  private forgetSilent(): void {
    const beforeMs = this.parts.clock.nowMs() - FORGET_MS;
    this.peers.forEach(({ heardMs }, name) => {
      if (heardMs !== -Infinity && heardMs < beforeMs) this.peers.delete(name);
    });
  }
}

export default Peers;
