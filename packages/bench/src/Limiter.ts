/** A way to hold a workspace to its rate over several instances. */
interface Limiter {
  /** True if the request may run. */
  admit(instance: number, tokens: number): Promise<boolean>;
  /** Messages between instances so far. */
  messageCount(): number;
}

export default Limiter;
