import { SingleBar } from 'cli-progress';
import { systemClock } from '@wisteriapath/model';
import CommandError from './CommandError';
import ExitCode from './ExitCode';
import type OperatorClient from './OperatorClient';

const POLL_MS = 100;
const TIMEOUT_MS = 10_000;

interface Confirmations {
  readonly confirmed: readonly string[];
  readonly missing: readonly string[];
}

const confirmations = async (client: OperatorClient, offset: number): Promise<Confirmations> => {
  const status = await client.status();
  const all = [{ name: status.instance, configOffset: status.configOffset }, ...status.peers];
  const holds = (instance: { configOffset: number | null }) =>
    (instance.configOffset ?? 0) >= offset;
  return {
    confirmed: all.filter(holds).map(({ name }) => name),
    missing: all.filter((instance) => !holds(instance)).map(({ name }) => name),
  };
};

/**
 * Waits until every instance holds the configuration up to an offset, with a progress bar on a
 * terminal. Instances that have not confirmed in time are named.
 *
 * @example
 * await awaitInForce(client, edited.offset);
 */
const awaitInForce = async (client: OperatorClient, offset: number): Promise<string[]> => {
  const bar = new SingleBar({
    format: 'in force {bar} {value}/{total} instances',
    stream: process.stderr,
    noTTYOutput: false,
  });
  const giveUpMs = systemClock.nowMs() + TIMEOUT_MS;
  let latest = await confirmations(client, offset);
  bar.start(latest.confirmed.length + latest.missing.length, latest.confirmed.length);
  while (latest.missing.length > 0 && systemClock.nowMs() < giveUpMs) {
    await systemClock.sleep(POLL_MS);
    latest = await confirmations(client, offset);
    bar.update(latest.confirmed.length);
  }
  bar.stop();
  if (latest.missing.length === 0) return [...latest.confirmed];
  const names = latest.missing.join(', ');
  throw new CommandError(`accepted, but not confirmed by: ${names}`, ExitCode.Unconfirmed);
};

export default awaitInForce;
