/** A rate limiter for one workspace whose requests arrive at several instances. */
interface Limiter {
  /** Resolves to whether a request of this size is admitted at an instance. */
  admit(instance: number, tokens: number): Promise<boolean>;
  /** Returns the number of messages between instances so far. */
  messageCount(): number;
}

export default Limiter;
