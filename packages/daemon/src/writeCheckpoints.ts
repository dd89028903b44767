import { rendezvousOrder } from '@wisteriapath/model';
import type InstanceComponents from './InstanceComponents';

const SECOND_MS = 1_000;

/**
 * Writes checkpoints of the configuration until `signal` aborts, in every interval in which this instance
 * is the first in the rendezvous order of the listed instances. Two writers at once do no harm.
 *
 * @example
 * void writeCheckpoints(components, signal);
 */
const writeCheckpoints = async (
  components: InstanceComponents,
  signal: AbortSignal,
): Promise<void> => {
  const { settings, clock, peerMesh, self, configReplica, checkpoints, logger } = components;
  const intervalMs = settings.roles.checkpoint_interval_s * SECOND_MS;
  while (!signal.aborted) {
    await clock.sleep(intervalMs, signal);
    const names = peerMesh.instances.filter(({ leaving }) => !leaving).map(({ name }) => name);
    const [writerName] = rendezvousOrder(configReplica.stream, [...names, self.name]);
    if (!signal.aborted && writerName === self.name && configReplica.isCaughtUp) {
      await checkpoints.write(configReplica.snapshot);
      logger.info({ offset: configReplica.nextOffset }, 'checkpoint_written');
    }
  }
};

export default writeCheckpoints;
