/** One run of the load thread: callers that send one completion after another. */
interface LoadRun {
  /** Base URLs; caller N uses the one at N modulo their number. */
  readonly urls: readonly string[];
  /** Caller N asks for the one at N modulo their number. */
  readonly models: readonly string[];
  readonly secret: string;
  readonly callers: number;
  readonly tokens: number;
  /** Time for which callers ask before their answers count; connections are made in it. */
  readonly warmUpMs: number;
  /** Time that counts. */
  readonly durationMs: number;
}

export default LoadRun;
