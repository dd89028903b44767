import type { Socket } from 'node:net';
import type { Dispatcher } from 'undici';
import type TrackedClient from './TrackedClient';
import watchHandover from './watchHandover';

/** What one request has used: a client, and so its connection. Passed among the options of the dispatch. */
class ConnectionUse {
  private client: TrackedClient | undefined;

  private wasHandedOver = false;

  private socket: Socket | undefined;

  /** Bytes of earlier answers on the same connection. */
  private earlierBytes = 0;

  /** Called by the client that the request is dispatched to. Returns the handler to go on with. */
  assign(client: TrackedClient, handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    this.client = client;
    return watchHandover(handler, () => {
      this.wasHandedOver = true;
      this.socket = client.socket;
      this.earlierBytes = client.socket?.bytesRead ?? 0;
    });
  }

  /**
   * Whether the request was handed to an established connection, so that bytes of it may have been sent. An error code does not
   * tell this: a connection that carries a request can end with the codes of one that was never opened.
   */
  get mayHaveSent(): boolean {
    return this.wasHandedOver;
  }

  /** Whether a byte has come on the connection since the request was handed to it, readable as an answer or not. */
  get hasReceived(): boolean {
    return (this.socket?.bytesRead ?? 0) > this.earlierBytes;
  }

  /** Whether the server has closed the connection in order. Valid until the client opens its next connection. */
  get hasEndedInOrder(): boolean {
    return this.client?.hasEndedInOrder ?? false;
  }
}

export default ConnectionUse;
