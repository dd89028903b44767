import { type ConfigState, getRow } from '@wisteriapath/config';
import { TableName, ZoneState } from '@wisteriapath/model';

/**
 * Whether a failure domain accepts new work.
 *
 * @example
 * if (!isInService(state, 'khomas-a')) refuse();
 */
const isInService = (state: ConfigState, failureDomain: string): boolean =>
  getRow(state, TableName.Zones, failureDomain)?.value.state !== ZoneState.Out;

export default isInService;
