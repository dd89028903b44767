/** What an expected duration was taken from; the values are those of the log. */
enum DurationSource {
  /** The slowest of the recent answers of the same model, for the tokens that the request allows. */
  ModelSlowest = 'model_slowest',
  /** The slowest of the recent answers of all models of the pool, for the tokens that the request allows. */
  PoolSlowest = 'pool_slowest',
  /** The pace of answers of the same model, for the length that the caller estimates. */
  ModelEstimate = 'model_estimate',
  /** The pace of answers of the same model, for the tokens that the request allows. */
  ModelPace = 'model_pace',
  /** The pace of answers of all models of the pool, for the length that the caller estimates. */
  PoolEstimate = 'pool_estimate',
  /** The pace of answers of all models of the pool, for the tokens that the request allows. */
  PoolPace = 'pool_pace',
  /** The longest of the recent answers on the same route, where no length is known. */
  RouteLongest = 'route_longest',
  /** The operator's objectives of the route: the time for a whole answer, or for the first event and between events. */
  Objectives = 'objectives',
  /** The time that is left until the request must have been answered, which is shorter than what the others give. */
  Deadline = 'deadline',
  /** The same time, because nothing else tells. */
  Nothing = 'nothing',
}

export default DurationSource;
