/** Kinds of route, by what serves it. */
enum RouteKind {
  Model = 'model',
  Service = 'service',
}

export default RouteKind;
