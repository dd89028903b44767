/** Options of the scaling of engines. */
interface ScalerOptions {
  /** Failure domain whose numbers of engines are ordered. */
  readonly failureDomain: string;
  /** Calls per second that the platform takes from all instances together, for all duties. */
  readonly maxCallsPerS: number;
}

export default ScalerOptions;
