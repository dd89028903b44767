import type Heartbeat from './Heartbeat';

/**
 * The part of a heartbeat that the instance supplies. `Peers` adds the fields that it keeps itself.
 */
type HeartbeatContent = Omit<Heartbeat, 'number' | 'holderHeard' | 'kind' | 'counted' | 'placers'>;

export default HeartbeatContent;
