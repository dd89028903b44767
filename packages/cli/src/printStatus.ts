import type OperatorClient from './OperatorClient';
import printTable from './printTable';

/**
 * Prints the instances, roles and targets that an instance knows, as tables or as one line of JSON.
 *
 * @example
 * await printStatus(client, false);
 */
const printStatus = async (client: OperatorClient, asJson: boolean): Promise<void> => {
  const status = await client.status();
  if (asJson) {
    process.stdout.write(`${JSON.stringify(status)}\n`);
    return;
  }
  const self = [status.instance, status.failureDomain, String(status.configOffset), 'here'];
  const peers = status.peers.map((peer) => [
    peer.name,
    peer.failureDomain,
    String(peer.configOffset ?? '-'),
    peer.silentMs === null ? 'never heard' : `${peer.silentMs} ms ago`,
  ]);
  printTable(['instance', 'failure domain', 'config offset', 'heard'], [self, ...peers]);
  process.stdout.write('\n');
  const roles = status.roles.map(({ role, holder, epoch, reason }) => [
    role,
    holder,
    String(epoch),
    reason,
  ]);
  printTable(['role', 'holder', 'epoch', 'taken'], roles);
  if (status.targets.length === 0) return;
  process.stdout.write('\n');
  const targets = status.targets.map(({ name, usable, window, slotsTaken, assets }) => [
    name,
    usable ? 'yes' : 'no',
    `${slotsTaken}/${window}`,
    assets.map(({ id, phase }) => `${id} ${phase}`).join(', '),
  ]);
  printTable(['target', 'usable', 'slots', 'loaded'], targets);
};

export default printStatus;
