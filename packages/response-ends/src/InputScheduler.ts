import type ConnectionInput from './ConnectionInput';

/** Time in one turn of the event loop for connections that have cost least, and once more for all others. */
const TURN_SHARE_MS = 1;
/** The same while new connections wait: Node.js accepts one in each turn. */
const ARRIVAL_TURN_SHARE_MS = 0.2;
/** Time for one connection before others have their turn. */
const SHARE_MS = 0.25;
/** Time without parsing after which another turn has begun. */
const TURN_GAP_MS = 0.5;
/** Cost up to which a connection is in the first class but one; each further class goes up to twice the cost. */
const CLASS_MS = 0.25;
const MAX_CLASS = 16;

/** Returns the class of a connection: 0 if nothing was spent on it since its last complete request. */
const classOf = ({ spentMs }: ConnectionInput): number =>
  Math.min(MAX_CLASS, Math.ceil(Math.log2(1 + spentMs / CLASS_MS)));

/** Returns the connection with most unread bytes. */
const largestOf = (inputs: readonly ConnectionInput[]): ConnectionInput | undefined =>
  inputs.reduce<ConnectionInput | undefined>(
    (largest, input) => (input.unreadBytes > (largest?.unreadBytes ?? 0) ? input : largest),
    undefined,
  );

/**
 * Decides whose bytes are parsed next. Parsing is bounded in each turn of the event loop, over all connections, and those that have cost
 * least since their last complete request come first. So an ordinary request waits neither for bodies in very small chunks nor for new
 * connections that begin one, and a single such body is still parsed as fast as it comes.
 *
 * @example
 * const scheduler = new InputScheduler();
 * const input = new ConnectionInput(socket, (ready) => scheduler.add(ready));
 */
class InputScheduler {
  /** The connections that wait, by class, in the order in which they came to wait. */
  private readonly classes = Array.from(
    { length: MAX_CLASS + 1 },
    () => new Set<ConnectionInput>(),
  );

  /** Time that was spent in this turn of the event loop. */
  private spentMs = 0;

  private endedMs = 0;

  private isScheduled = false;

  /** Whether a connection was accepted in this turn, so that others probably wait. */
  private hasArrival = false;

  private unreadSumBytes = 0;

  /** Bytes that were read from the connections that wait, and not parsed. */
  get unreadBytes(): number {
    return this.unreadSumBytes;
  }

  /** Whether a connection waits on which nothing was spent since its last complete request. */
  get hasFresh(): boolean {
    return this.classes[0].size > 0;
  }

  /** Takes note that a connection was accepted. */
  noteArrival(): void {
    this.hasArrival = true;
  }

  /** Parses the bytes of a connection now, or once it has its turn. */
  add(input: ConnectionInput): void {
    if (input.queue !== undefined) this.count(input, input.unreadBytes);
    if (!input.isReady || input.queue !== undefined) return;
    const isFree = !this.isScheduled && !this.isSpent();
    if (isFree) this.parse(input);
    this.enqueue(input);
  }

  /** Forgets a connection that has closed, or whose bytes are no longer parsed. */
  remove(input: ConnectionInput): void {
    this.dequeue(input);
  }

  /** The connection that has cost most of those that wait and may be closed; of several, the one with most bytes. */
  heaviest(mayClose: (input: ConnectionInput) => boolean): ConnectionInput | undefined {
    return this.classes
      .toReversed()
      .map((waiting) => largestOf([...waiting].filter(mayClose)))
      .find((input) => input !== undefined);
  }

  private isSpent(): boolean {
    if (performance.now() - this.endedMs > TURN_GAP_MS) this.spentMs = 0;
    return this.spentMs >= TURN_SHARE_MS;
  }

  private enqueue(input: ConnectionInput): void {
    if (!input.isReady) return;
    const queued = input;
    queued.queue = this.classes[classOf(input)].add(input);
    this.count(input, input.unreadBytes);
    this.schedule();
  }

  private dequeue(input: ConnectionInput): void {
    const removed = input;
    removed.queue?.delete(input);
    removed.queue = undefined;
    this.count(input, 0);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.beginTurn());
  }

  private beginTurn(): void {
    this.isScheduled = false;
    this.spentMs = 0;
    const shareMs = this.hasArrival ? ARRIVAL_TURN_SHARE_MS : TURN_SHARE_MS;
    this.hasArrival = false;
    this.parseWaiting(0, shareMs);
    this.parseWaiting(1, this.spentMs + shareMs);
    if (this.classes.some(({ size }) => size > 0)) this.schedule();
  }

  /** Parses for connections of this class and those above it until this time has been spent in the turn. */
  private parseWaiting(lowestClass: number, limitMs: number): void {
    for (;;) {
      const waiting = this.classes.find(({ size }, number) => number >= lowestClass && size > 0);
      if (waiting === undefined || this.spentMs >= limitMs) return;
      const [input] = waiting;
      this.dequeue(input);
      this.parse(input);
      this.enqueue(input);
    }
  }

  private parse(input: ConnectionInput): void {
    const startedMs = performance.now();
    input.parse(SHARE_MS);
    this.endedMs = performance.now();
    this.spentMs += this.endedMs - startedMs;
  }

  private count(input: ConnectionInput, bytes: number): void {
    const counted = input;
    this.unreadSumBytes += bytes - input.countedBytes;
    counted.countedBytes = bytes;
  }
}

export default InputScheduler;
