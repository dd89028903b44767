import { DutyKind } from '@wisteriapath/fleet';
import type EdgeOptions from './EdgeOptions';
import type EdgePorts from './EdgePorts';
import UsageDuty from './UsageDuty';

type Parts = Omit<
  ConstructorParameters<typeof UsageDuty>[0],
  'wallClock' | 'member' | 'handoverDelayMs' | 'options' | 'ports' | 'api'
>;

/**
 * Creates the part of an instance in the usage reports; `undefined` where the deployment has no such duty.
 *
 * @example
 * const usage = createUsageDuty(options, ports, { clock, log, metrics, peers, isPlacer });
 */
const createUsageDuty = (
  { member, handoverDelayMs, duties }: EdgeOptions,
  { usage: ports, dutyApi: api, wallClock }: EdgePorts,
  parts: Parts,
): UsageDuty | undefined => {
  const isWanted = duties?.kinds.includes(DutyKind.Usage) ?? false;
  if (!isWanted || duties === undefined || ports === undefined || api === undefined) {
    return undefined;
  }
  return new UsageDuty({
    ...parts,
    wallClock,
    member,
    handoverDelayMs,
    options: duties,
    ports,
    api,
  });
};

export default createUsageDuty;
