import { Metadata, type ServiceError } from '@grpc/grpc-js';
import { type Either, Left, Right } from 'purify-ts';

type UnaryMethod<Request, Reply> = (
  request: Request,
  metadata: Metadata,
  options: { deadline: number },
  callback: (error: ServiceError | null, reply: Reply) => void,
) => unknown;

/**
 * Calls a unary gRPC method of a peer with a timeout in milliseconds. Never rejects.
 *
 * @example
 * const reply = await callPeer(client.hello.bind(client), request, 500);
 */
const callPeer = <Request, Reply>(
  method: UnaryMethod<Request, Reply>,
  request: Request,
  timeoutMs: number,
): Promise<Either<ServiceError, Reply>> =>
  new Promise((resolve) => {
    const options = { deadline: Date.now() + timeoutMs };
    method(request, new Metadata(), options, (error, reply) => {
      resolve(error === null ? Right(reply) : Left(error));
    });
  });

export default callPeer;
