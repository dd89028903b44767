/** How often a request of a route may be executed. */
enum RouteSemantics {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs at most once for each attempt of a caller. */
  AtMostOnce = 'once',
  /** Answers with a series of events; may run again only where the route is resumable. */
  Stream = 'stream',
}

export default RouteSemantics;
