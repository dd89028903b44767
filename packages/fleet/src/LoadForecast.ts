/** When a placer expects loads that it has put off to end, for an instance whose requests wait for them. */
interface LoadForecast {
  /** Failure domain of the placer. */
  readonly placer: string;
  readonly pool: string;
  /** Time until each model is expected to be loaded, as `[model, milliseconds]`. */
  readonly models: readonly (readonly [string, number])[];
}

export default LoadForecast;
