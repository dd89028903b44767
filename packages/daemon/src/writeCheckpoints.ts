import { rendezvousOrder } from '@wisteriapath/model';
import type Cradle from './Cradle';

const SECOND_MS = 1_000;

/**
 * The task that writes checkpoints of the configuration while this instance is the first in the
 * rendezvous order of those listed. Two checkpointers at once do no harm.
 *
 * @example
 * void writeCheckpoints(cradle, signal);
 */
const writeCheckpoints = async (cradle: Cradle, signal: AbortSignal): Promise<void> => {
  const { settings, clock, mesh, self, configReplica, checkpoints, logger } = cradle;
  const intervalMs = settings.roles.checkpoint_interval_s * SECOND_MS;
  while (!signal.aborted) {
    await clock.sleep(intervalMs, signal);
    const names = mesh.instances.filter(({ leaving }) => !leaving).map(({ name }) => name);
    const [first] = rendezvousOrder(configReplica.stream, [...names, self.name]);
    if (!signal.aborted && first === self.name && configReplica.caughtUp) {
      await checkpoints.write(configReplica.snapshot);
      logger.info({ offset: configReplica.nextOffset }, 'checkpoint_written');
    }
  }
};

export default writeCheckpoints;
