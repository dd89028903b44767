import type Heartbeat from './Heartbeat';

/** What a beat says beside what the peers' own book adds. */
type HeartbeatContent = Omit<Heartbeat, 'number' | 'holderHeard' | 'kind' | 'counted' | 'placers'>;

export default HeartbeatContent;
