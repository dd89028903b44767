import type Beat from './Beat';

/** What a beat says beside what the peers' own book adds. */
type BeatContent = Omit<Beat, 'number' | 'holderHeard' | 'kind' | 'counted' | 'placers'>;

export default BeatContent;
