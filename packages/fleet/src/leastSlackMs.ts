/**
 * Returns the least slack of several requests that wait for the same model, without those for which nothing can be gained any more;
 * negative only if there is no other. See `slackMs` of `packages/scheduling`.
 *
 * @example
 * leastSlackMs([-200, 1_100, 4_200]); // 1_100
 */
const leastSlackMs = (slacksMs: readonly number[]): number => {
  const servable = slacksMs.filter((slackMs) => slackMs >= 0);
  return servable.length > 0 ? Math.min(...servable) : Math.max(...slacksMs);
};

export default leastSlackMs;
