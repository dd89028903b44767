/** How many instances a service is to have in a failure domain. */
interface CapacityOrder {
  /** Pool that the service serves. */
  readonly pool: string;
  readonly failureDomain: string;
  readonly count: number;
}

export default CapacityOrder;
