import type TrackedClient from './TrackedClient';

/** The client, and so the connection, that one request was dispatched to. Passed among the options of the dispatch. */
class ConnectionUse {
  private client: TrackedClient | undefined;

  /** Called by the client that the request is dispatched to. */
  assign(client: TrackedClient): void {
    this.client = client;
  }

  /** Whether the server has closed the connection in order. Valid until the client opens its next connection. */
  get hasEndedInOrder(): boolean {
    return this.client?.hasEndedInOrder ?? false;
  }
}

export default ConnectionUse;
