/** The runner of Jest for test files that need the machine to themselves: one file at a time, apart from other projects. */
const { default: TestRunner } = require('jest-runner');

class SerialJestRunner extends TestRunner {
  constructor(...options) {
    super(...options);
    // Jest runs one runner's files after another's, and those of a serial runner one by one.
    this.isSerial = true;
  }
}

module.exports = SerialJestRunner;
