import type ScalingView from './ScalingView';

/**
 * Returns how long demand must have lasted before an engine is added: until one that is ordered now has started and has
 * loaded its first model. What has lasted that long is assumed to last as long again.
 *
 * @example
 * sustainMs({ limits: { min: 1, max: 4, bootMs: 8_000 }, firstLoadMs: 10_000 }); // 18_000
 */
const sustainMs = ({ limits, firstLoadMs }: Pick<ScalingView, 'limits' | 'firstLoadMs'>): number =>
  limits.bootMs + firstLoadMs;

export default sustainMs;
