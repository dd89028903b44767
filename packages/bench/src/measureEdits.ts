import { build } from 'hdr-histogram-js';
import { systemClock } from '@wisteriapath/model';
import startSystem from './startSystem';

const EDITS = 200;
const INSTANCES = 7;
const POLL_MS = 2;

/**
 * Prints the time until an edit is accepted, and from then until it is in force in every instance.
 *
 * @example
 * await measureEdits();
 */
const measureEdits = async (): Promise<void> => {
  const system = await startSystem(INSTANCES);
  const accepted = build();
  const inForce = build();
  for (let edit = 0; edit < EDITS; edit += 1) {
    const startedMs = systemClock.nowMs();
    const offset = await system.set(edit % INSTANCES, 'workspaces', `w-${edit}`, {
      rateTokensPerS: 1,
      burstTokens: 1,
    });
    const acceptedMs = systemClock.nowMs();
    accepted.recordValue(Math.round(acceptedMs - startedMs));
    await Promise.all(
      system.instances.map(async (_instance, index) => {
        while ((await system.configOffset(index)) < offset) await systemClock.sleep(POLL_MS);
      }),
    );
    inForce.recordValue(Math.round(systemClock.nowMs() - acceptedMs));
  }
  const formatRow = (name: string, histogram: typeof accepted) =>
    `| ${name} | ${histogram.getValueAtPercentile(50)} | ${histogram.getValueAtPercentile(99)} | ${histogram.maxValue} |\n`;
  process.stdout.write(`${EDITS} edits, ${INSTANCES} instances\n`);
  process.stdout.write('| | p50 ms | p99 ms | most ms |\n| --- | --- | --- | --- |\n');
  process.stdout.write(formatRow('until accepted', accepted));
  process.stdout.write(formatRow('until in force in the last instance', inForce));
  await system.stop();
};

export default measureEdits;
