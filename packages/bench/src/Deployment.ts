/** The sizes of one deployment, as the brief gives them. */
interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly models: number;
  readonly adapters: number;
  readonly failureDomains: readonly string[];
  readonly instances: number;
  /** Loads that the weight store begins in a second. */
  readonly storeLoadsPerS: number;
}

export default Deployment;
