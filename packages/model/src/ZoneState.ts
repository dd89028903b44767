/** Service state of a failure domain. */
enum ZoneState {
  /** In service. */
  In = 'in',
  /** Out of service: takes no new work. */
  Out = 'out',
}

export default ZoneState;
