/** The sizes of one deployment, as stated in the requirements. */
interface Deployment {
  readonly name: string;
  readonly engines: number;
  readonly models: number;
  readonly adapters: number;
  readonly failureDomains: readonly string[];
  readonly instances: number;
  /** Limit on loads that the weight store starts in a second. */
  readonly storeLoadsPerS: number;
}

export default Deployment;
