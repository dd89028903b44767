import {
  type sendUnaryData,
  Server,
  ServerCredentials,
  type ServerUnaryCall,
  status,
} from '@grpc/grpc-js';
import type PeerHandlers from './PeerHandlers';
import { PeerService } from './generated/peer';

type Handler<Request, Reply> = (request: Request) => Promise<Reply>;

const toUnary =
  <Request, Reply>(handler: Handler<Request, Reply>) =>
  (call: ServerUnaryCall<Request, Reply>, callback: sendUnaryData<Reply>): void => {
    handler(call.request).then(
      (reply) => callback(null, reply),
      (error: Error) => callback({ code: status.INTERNAL, message: error.message }),
    );
  };

/** A gRPC server that listens for peers. */
interface RunningPeerServer {
  readonly port: number;
  /** Stops at once and cancels the calls in flight. */
  close(): void;
}

/**
 * Starts the gRPC server for peers on `host:port`. Rejects if the address cannot be bound.
 *
 * @example
 * const server = await startPeerServer('127.0.0.1:0', handlers);
 */
const startPeerServer = (address: string, handlers: PeerHandlers): Promise<RunningPeerServer> => {
  const server = new Server();
  server.addService(PeerService, {
    hello: toUnary(handlers.hello.bind(handlers)),
    syncBudget: toUnary(handlers.syncBudget.bind(handlers)),
    acquire: toUnary(handlers.acquire.bind(handlers)),
    shareSuspects: toUnary(handlers.shareSuspects.bind(handlers)),
  });
  return new Promise((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
      if (error !== null) reject(error);
      else resolve({ port, close: () => server.forceShutdown() });
    });
  });
};

export default startPeerServer;
