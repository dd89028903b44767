/** What a route leads to. */
enum RouteKind {
  Model = 'model',
  Service = 'service',
}

export default RouteKind;
