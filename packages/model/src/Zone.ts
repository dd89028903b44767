import type ZoneState from './ZoneState';

/**
 * A row of the zones table: whether a failure domain takes new work. A failure domain without a row
 * is in service.
 */
interface Zone {
  readonly state: ZoneState;
}

export default Zone;
