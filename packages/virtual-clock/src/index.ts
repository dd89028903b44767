/** A simulated clock that advances only on request. */
import VirtualClock from './VirtualClock';

export default VirtualClock;
