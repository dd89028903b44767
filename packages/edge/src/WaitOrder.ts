/** How a request of a deferring pool ranks among those that wait. */
interface WaitOrder {
  /** Priority of the workspace, otherwise of the route; 0 is the highest. */
  readonly priority: number;
  /** Whether the request can wait for several loads beside the more urgent ones of its pool. */
  readonly isDeferrable: boolean;
}

export default WaitOrder;
