/** Tells in which step a build failed, and why. */
export default class BuildError extends Error {
  /**
   * @param step What failed: `node`, `wait`, `install`, `bundle`, `check` or `place`.
   * @param reason One line for the operator.
   */
  constructor(step, reason) {
    super(`step ${step}: ${reason}`);
    this.name = 'BuildError';
    this.step = step;
    this.reason = reason;
  }
}
