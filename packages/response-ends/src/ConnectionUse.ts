import type { Socket } from 'node:net';
import type ConnectionHistory from './ConnectionHistory';
import type TrackedClient from './TrackedClient';

/** The connection that one request has used. Passed among the options of the dispatch. */
class ConnectionUse {
  private client: TrackedClient | undefined;

  private socket: Socket | undefined;

  private history: ConnectionHistory | undefined;

  private wasAmbiguous = false;

  private wasUnused = true;

  /** Bytes of earlier answers on the same connection. */
  private earlierBytes = 0;

  /** Called by the client when the request is handed to its connection. */
  begin(client: TrackedClient, exchangeId: string | undefined): void {
    this.client = client;
    this.socket = client.socket;
    this.history = client.history;
    this.wasUnused = client.history.isUnused;
    this.wasAmbiguous = client.history.isAmbiguous(exchangeId);
    this.earlierBytes = client.socket?.bytesRead ?? 0;
  }

  /**
   * Whether the request was handed to an established connection, so that bytes of it may have been sent. An error code does not
   * tell this: a connection that carries a request can end with the codes of one that was never opened.
   */
  get mayHaveSent(): boolean {
    return this.client !== undefined;
  }

  /** Whether the answer may be a copy of the answer to an earlier request, which the ids in them do not tell. */
  get isAmbiguous(): boolean {
    return this.wasAmbiguous;
  }

  /** Whether the connection had carried nothing before the request. Otherwise nothing tells whose answer one without an id is. */
  get isFirst(): boolean {
    return this.wasUnused;
  }

  /** Whether a byte has come on the connection since the request was handed to it, readable as an answer or not. */
  get hasReceived(): boolean {
    return (this.socket?.bytesRead ?? 0) > this.earlierBytes;
  }

  /** Whether the server has closed the connection in order. Valid until the client opens its next connection. */
  get hasEndedInOrder(): boolean {
    return this.client?.hasEndedInOrder ?? false;
  }

  /** Lets the connection carry no further request. */
  retireConnection(): void {
    this.history?.retire();
  }
}

export default ConnectionUse;
