import { SingleBar } from 'cli-progress';
import { systemClock } from '@wisteriapath/model';
import CommandError from './CommandError';
import ExitCode from './ExitCode';
import type OperatorClient from './OperatorClient';

const POLL_INTERVAL_MS = 100;
const CONFIRMATION_TIMEOUT_MS = 10_000;

interface Confirmations {
  readonly confirmed: readonly string[];
  readonly missing: readonly string[];
}

const readConfirmations = async (
  client: OperatorClient,
  offset: number,
): Promise<Confirmations> => {
  const status = await client.status();
  const instances = [{ name: status.instance, configOffset: status.configOffset }, ...status.peers];
  const hasConfirmed = (instance: { configOffset: number | null }) =>
    (instance.configOffset ?? 0) >= offset;
  return {
    confirmed: instances.filter(hasConfirmed).map(({ name }) => name),
    missing: instances.filter((instance) => !hasConfirmed(instance)).map(({ name }) => name),
  };
};

/**
 * Waits until every instance has applied the configuration log up to `offset`, and returns their names.
 * Shows a progress bar on a terminal. After 10 s it throws a `CommandError` that names the instances that
 * have not confirmed.
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
  const deadlineMs = systemClock.nowMs() + CONFIRMATION_TIMEOUT_MS;
  let latest = await readConfirmations(client, offset);
  bar.start(latest.confirmed.length + latest.missing.length, latest.confirmed.length);
  while (latest.missing.length > 0 && systemClock.nowMs() < deadlineMs) {
    await systemClock.sleep(POLL_INTERVAL_MS);
    latest = await readConfirmations(client, offset);
    bar.update(latest.confirmed.length);
  }
  bar.stop();
  if (latest.missing.length === 0) return [...latest.confirmed];
  const names = latest.missing.join(', ');
  throw new CommandError(`accepted, but not confirmed by: ${names}`, ExitCode.Unconfirmed);
};

export default awaitInForce;
