import type OpenFailure from './OpenFailure';

const NONE: OpenFailure = { code: '', failures: 0 };

/** The ports that serving needs and that are not open yet, by address, with why. */
class PortStates {
  private readonly unopened = new Map<string, OpenFailure>();

  /** Notes that a port is to be opened. */
  expect(address: string): void {
    this.unopened.set(address, NONE);
  }

  /** Notes that a port could not be opened. */
  fail(address: string, failure: OpenFailure): void {
    if (this.unopened.has(address)) this.unopened.set(address, failure);
  }

  /** Notes that a port is open. */
  open(address: string): void {
    this.unopened.delete(address);
  }

  /** Returns a text for each port that is not open, such as `10.1.0.25:8221 (EADDRINUSE, 50 times)`. */
  describe(): readonly string[] {
    return [...this.unopened].map(([address, { code, failures }]) =>
      failures === 0 ? address : `${address} (${code}, ${failures} times)`,
    );
  }
}

export default PortStates;
