import { RouteSemantics } from '@wisteriapath/fleet';
import { framingOf, ResponseFraming } from '@wisteriapath/response-ends';
import type AdmittedRequest from './AdmittedRequest';
import type CallerExchange from './CallerExchange';
import type Dialect from './Dialect';
import type HeaderRecord from './HeaderRecord';
import type ResponseFields from './ResponseFields';
import ResponseMode from './ResponseMode';
import mediaTypeOf from './mediaTypeOf';

interface Context {
  readonly request: AdmittedRequest;
  readonly caller: CallerExchange;
  /** Whether the request may be run again, by what the operator says now. */
  readonly mayRunAgain: () => boolean;
  /** Whether the response may be the copy of one to an earlier request of its connection. */
  readonly isAmbiguous: () => boolean;
}

const OK = 200;
const MULTIPLE_CHOICES = 300;
const EVENT_STREAM = 'text/event-stream';

/** The head of the response to one attempt, and what is done with the response because of it. */
class ResponseHead {
  private decidedMode = ResponseMode.None;

  private receivedStatus = 0;

  private headers: HeaderRecord = {};

  private receivedFields: ResponseFields | null = null;

  constructor(
    private readonly dialect: Dialect,
    private readonly context: Context,
  ) {}

  get mode(): ResponseMode {
    return this.decidedMode;
  }

  /** Status of the response; 0 if none has come that belongs to the request. */
  get status(): number {
    return this.receivedStatus;
  }

  /** What the response says in the terms of the platform; null as long as the status is 0. */
  get fields(): ResponseFields | null {
    return this.receivedFields;
  }

  /** Takes over a head, unless it belongs to another request; returns whether its response may be accepted. */
  accept(status: number, headers: HeaderRecord): boolean {
    const fields = this.dialect.parseResponse(status, headers);
    if (!this.isOwnResponse(fields)) return false;
    this.receivedStatus = status;
    this.headers = headers;
    this.receivedFields = fields;
    this.decidedMode = this.modeOf(fields);
    return this.decidedMode !== ResponseMode.Invalid;
  }

  /** What bounds the response, to a request of a method. */
  framingOf(method: string): ResponseFraming {
    if (this.decidedMode === ResponseMode.None) return ResponseFraming.None;
    return framingOf(method, this.receivedStatus, this.headers);
  }

  /** Whether the body is a series of events, by its media type. */
  get isEventStream(): boolean {
    const mediaType = mediaTypeOf(this.headers['content-type']);
    return mediaType === '' || mediaType === EVENT_STREAM;
  }

  /** The headers for the caller. */
  get callerHeaders(): Record<string, string | string[]> {
    return { ...this.dialect.callerHeaders(this.headers) };
  }

  /** Whether a response names this request. One that names none may be a late copy of an earlier response. */
  private isOwnResponse({ attemptId }: ResponseFields): boolean {
    return attemptId === this.context.request.fields.attemptId;
  }

  private modeOf(fields: ResponseFields): ResponseMode {
    if (this.isRejection(fields)) return ResponseMode.NotExecuted;
    const isSuccess = this.receivedStatus >= OK && this.receivedStatus < MULTIPLE_CHOICES;
    if (!isSuccess) return ResponseMode.Buffered;
    if (!fields.hasReceipt || !this.fitsStartedResponse()) return ResponseMode.Invalid;
    const { semantics } = this.context.request.route;
    return semantics === RouteSemantics.Stream ? ResponseMode.Streamed : ResponseMode.Buffered;
  }

  /**
   * Whether the target has not run the request: by its statement, or by a status that is one where another run would do no harm.
   * A statement that may be a copy of an earlier one proves nothing.
   */
  private isRejection({ statesNotExecuted, isMisdirected }: ResponseFields): boolean {
    if (this.context.isAmbiguous()) return false;
    return statesNotExecuted || (isMisdirected && this.context.mayRunAgain());
  }

  /** Whether a response can go on with what the caller has received so far: a stream of the same kind. */
  private fitsStartedResponse(): boolean {
    const { caller } = this.context;
    if (!caller.hasStarted) return true;
    const hasSameType = mediaTypeOf(this.headers['content-type']) === caller.startedMediaType;
    return this.receivedStatus === OK && hasSameType;
  }
}

export default ResponseHead;
