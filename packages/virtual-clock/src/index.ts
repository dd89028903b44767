/** Time that passes only when told to. */
import VirtualClock from './VirtualClock';

export default VirtualClock;
