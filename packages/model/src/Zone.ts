import type ZoneState from './ZoneState';

/** Whether a failure domain takes new work. A domain without a row is in service. */
interface Zone {
  readonly state: ZoneState;
}

export default Zone;
