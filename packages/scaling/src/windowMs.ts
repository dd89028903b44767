import type ScalingView from './ScalingView';
import sustainMs from './sustainMs';

const BOOTS_PER_WINDOW = 2;

/**
 * Returns for how long a service must have been observed before a decision.
 *
 * @example
 * windowMs({ limits: { min: 1, max: 4, bootMs: 8_000 }, firstLoadMs: 0 }); // 16_000
 */
const windowMs = (view: Pick<ScalingView, 'limits' | 'firstLoadMs'>): number =>
  Math.max(view.limits.bootMs * BOOTS_PER_WINDOW, sustainMs(view));

export default windowMs;
