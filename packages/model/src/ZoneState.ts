/** Service state of a failure domain. */
enum ZoneState {
  In = 'in',
  Out = 'out',
}

export default ZoneState;
