import type { MemoryReservation } from '@wisteriapath/body-memory';
import { ByteAccumulator, reclaimReceived } from '@wisteriapath/byte-accumulator';
import { EndReason } from '@wisteriapath/response-ends';
import type AdmittedRequest from './AdmittedRequest';
import type CallerExchange from './CallerExchange';
import type ChosenTarget from './ChosenTarget';
import type EdgeDependencies from './EdgeDependencies';
import EventBoundaries from './EventBoundaries';
import type EventFramer from './EventFramer';
import ResponseMode from './ResponseMode';
import maxResponseBytes from './maxResponseBytes';

interface Context {
  readonly chosen: ChosenTarget;
  readonly request: AdmittedRequest;
  readonly caller: CallerExchange;
  /** Present if the stream can be resumed at another target. */
  readonly framer: EventFramer | null;
  /** What is done with the response. */
  readonly mode: () => ResponseMode;
  /** Ends the exchange. */
  readonly abort: () => void;
  /** Called when a complete event of a stream has come. */
  readonly onBegun: () => void;
}

/** Bytes that may wait for a caller who reads slowly, where the target cannot be made to wait. */
const MAX_UNSENT_BYTES = 8 * 1_024 * 1_024;

/** The body of the response to one attempt: what is kept of it, and what has been passed on to the caller. */
class ResponseBody {
  /** What has come of a body that is not passed on as it comes. */
  private readonly content = new ByteAccumulator();

  /** What the response holds here, until the caller has taken it. */
  private readonly memory: MemoryReservation;

  /** Where the events of a stream end that is passed on as it arrives. */
  private readonly boundaries = new EventBoundaries();

  private lastByteAtMs: number;

  /** When the first event of the target's stream was complete, on the monotonic clock; undefined if none was. */
  firstEventAtMs: number | undefined;

  constructor(
    private readonly deps: EdgeDependencies,
    private readonly context: Context,
  ) {
    this.lastByteAtMs = deps.clock.nowMs();
    this.memory = deps.memory.reserve();
    this.memory.onGiveWay = () => this.giveWay();
  }

  /** Time since the last byte arrived, or since the attempt began. */
  get silentMs(): number {
    return this.deps.clock.nowMs() - this.lastByteAtMs;
  }

  /** Whether the body was dropped, as there was no memory left for it. */
  get hasGivenWay(): boolean {
    return this.memory.hasGivenWay;
  }

  /** Whether a stream has ended inside an event. */
  get isInsideEvent(): boolean {
    return this.context.framer?.hasPartialEvent ?? this.boundaries.isInsideEvent;
  }

  /** Whether a stream has had a complete event. */
  get hasEvent(): boolean {
    return (this.context.framer ?? this.boundaries).hasEvent;
  }

  /** The whole body, if it was not passed on as it came. Its memory stays reserved until `release`. */
  get kept(): ByteAccumulator {
    return this.content;
  }

  /** Takes a chunk; returns false if no further one should come until `resume` is called. */
  receive(chunk: Buffer, resume: () => void): boolean {
    this.lastByteAtMs = this.deps.clock.nowMs();
    reclaimReceived(chunk.length);
    if (this.context.mode() === ResponseMode.Streamed) return this.passOn(chunk, resume);
    if (this.isOversized(this.content.sizeBytes + chunk.length)) {
      this.abortOversized();
      return true;
    }
    this.content.append(chunk);
    if (!this.memory.hold(this.content.heldBytes)) this.content.clear();
    return true;
  }

  /** Releases what the response holds: once the caller has taken it, or at once if it is not passed on. */
  release(isAnswer: boolean, isKept: boolean): void {
    // A kept failure may still be passed on after further attempts, whose response must not be ended for it.
    if (!isAnswer) this.memory.onGiveWay = null;
    if (isAnswer || isKept) this.context.caller.onClosed(() => this.memory.release());
    else this.memory.release();
  }

  /** Passes on a chunk of a stream: at once, or up to the end of its last event if the stream can be resumed. */
  private passOn(chunk: Buffer, resume: () => void): boolean {
    const { caller, framer, onBegun } = this.context;
    const bytes = framer?.push(chunk) ?? chunk;
    if (framer === null) this.boundaries.push(chunk);
    const { hasEvent, partialBytes } = framer ?? this.boundaries;
    if (this.isOversized(partialBytes)) {
      this.abortOversized();
      return true;
    }
    if (hasEvent) {
      this.firstEventAtMs ??= this.lastByteAtMs;
      onBegun();
    }
    const mayContinue = caller.write(bytes, resume);
    const { unsentBytes } = caller;
    if (unsentBytes > MAX_UNSENT_BYTES) this.abortUnread();
    this.memory.hold(unsentBytes + (framer?.heldBytes ?? 0));
    return mayContinue;
  }

  /** Whether a response body, or one event of a stream, is larger than any that is sound. */
  private isOversized(bytes: number): boolean {
    return bytes > maxResponseBytes[this.context.mode()];
  }

  /** Breaks off the response to a caller who reads too slowly. */
  private abortUnread(): void {
    const { request, caller } = this.context;
    const { unsentBytes } = caller;
    this.deps.log.event('caller_too_slow', {
      request: request.fields.attemptId,
      unsent_bytes: unsentBytes,
    });
    caller.abort(EndReason.CallerTooSlow);
  }

  /** Ends the exchange whose response holds more than any other body, once there is no memory left for all of them. */
  private giveWay(): void {
    if (this.context.caller.unsentBytes > 0) this.abortUnread();
    else this.abortOversized();
  }

  /** Aborts an exchange whose response exceeds its size limit. */
  private abortOversized(): void {
    const { chosen, request, mode, abort } = this.context;
    const fields = { request: request.fields.attemptId, target: chosen.view.entry.id };
    this.deps.log.event('answer_too_long', { ...fields, mode: mode() });
    this.content.clear();
    abort();
  }
}

export default ResponseBody;
