import { Agent, Pool } from 'undici';
import TrackedClient from './TrackedClient';

type ClientOptions = ConstructorParameters<typeof TrackedClient>[1];

interface Options extends ClientOptions {
  /** Maximum number of connections to one origin; no limit if null. */
  readonly connections: number | null;
}

/**
 * Creates an agent whose connections carry one exchange at a time. A `connectionUse` among the options of a request tells what
 * became of it.
 *
 * @example
 * const agent = createTrackedAgent({ connectTimeoutMs: 500, connections: null });
 */
const createTrackedAgent = ({ connections, ...options }: Options): Agent => {
  const createClient = (origin: URL) => new TrackedClient(origin, options);
  return new Agent({
    factory: (origin) => new Pool(origin, { connections, factory: createClient }),
  });
};

export default createTrackedAgent;
