/** A clock for tests. */
import TestClock from './TestClock';

export default TestClock;
