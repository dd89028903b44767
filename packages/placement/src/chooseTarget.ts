import type HeldTarget from './HeldTarget';

/**
 * The preferred target if it is among `allowed`, else the less loaded of two random ones.
 *
 * @example
 * const target = chooseTarget(free, () => undefined);
 */
const chooseTarget = (
  allowed: readonly HeldTarget[],
  preferred: (targets: readonly string[]) => string | undefined,
): HeldTarget => {
  const hint = preferred(allowed.map((target) => target.identity.name));
  const match = allowed.find((target) => target.identity.name === hint);
  if (match !== undefined) return match;
  const draw = () => allowed[Math.floor(Math.random() * allowed.length)];
  const [first, second] = [draw(), draw()];
  return first.load <= second.load ? first : second;
};

export default chooseTarget;
