import type HeldTarget from './HeldTarget';

/**
 * Returns the preferred target if it is among `allowed`, else the less loaded of two random ones.
 *
 * @example
 * const target = chooseTarget(free, () => undefined);
 */
const chooseTarget = (
  allowed: readonly HeldTarget[],
  findPreferred: (targets: readonly string[]) => string | undefined,
): HeldTarget => {
  const preferredName = findPreferred(allowed.map((target) => target.identity.name));
  const preferredTarget = allowed.find((target) => target.identity.name === preferredName);
  if (preferredTarget !== undefined) return preferredTarget;
  const draw = () => allowed[Math.floor(Math.random() * allowed.length)];
  const [first, second] = [draw(), draw()];
  return first.load <= second.load ? first : second;
};

export default chooseTarget;
