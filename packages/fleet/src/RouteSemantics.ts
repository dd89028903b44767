/** What may be repeated of the requests of a route. */
enum RouteSemantics {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** Runs once at most for each attempt of a caller. */
  AtMostOnce = 'once',
  /** Answers with a series of events; may run again only where the route is resumable. */
  Stream = 'stream',
}

export default RouteSemantics;
