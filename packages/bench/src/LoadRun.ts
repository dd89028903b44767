/** The parameters of one run of the load thread: each caller sends one completion after another. */
interface LoadRun {
  /** Base URLs; caller N uses the one at index N modulo their number. */
  readonly urls: readonly string[];
  /** Models; caller N requests the one at index N modulo their number. */
  readonly models: readonly string[];
  /** API key of the workspace. */
  readonly secret: string;
  readonly callers: number;
  /** Tokens of each completion. */
  readonly tokens: number;
  /**
   * Time before the measurement in which callers already send requests, so that connections are
   * open.
   */
  readonly warmUpMs: number;
  /** Duration of the measurement. */
  readonly durationMs: number;
}

export default LoadRun;
