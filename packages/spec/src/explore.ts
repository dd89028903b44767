import type Exploration from './Exploration';
import type Spec from './Spec';

/** A visited state and the step that led to it. */
interface Visit<S> {
  readonly state: S;
  /** Name of the step that led here. */
  readonly name: string;
  readonly previous: Visit<S> | undefined;
}

/** Returns the names of the steps from the initial state to a visit. */
const stepsTo = <S>(last: Visit<S>): string[] => {
  const names: string[] = [];
  let visit: Visit<S> | undefined = last;
  while (visit?.previous !== undefined) {
    names.unshift(visit.name);
    visit = visit.previous;
  }
  return names;
};

/**
 * Visits all reachable states breadth first, so that a counterexample is as short as possible.
 * Stops at the first broken invariant or after `maxStates` states.
 *
 * @example
 * explore(claimsSpec([]), 200_000).counterexample;
 */
const explore = <S>(spec: Spec<S>, maxStates: number): Exploration => {
  const queue: Visit<S>[] = [{ state: spec.initial, name: 'start', previous: undefined }];
  const seen = new Set([JSON.stringify(spec.initial)]);
  for (let position = 0; position < queue.length; position += 1) {
    const visit = queue[position];
    const invariant = spec.brokenInvariant(visit.state);
    if (invariant !== undefined) {
      return {
        states: seen.size,
        complete: false,
        counterexample: { invariant, steps: stepsTo(visit) },
      };
    }
    if (seen.size >= maxStates) return { states: seen.size, complete: false, counterexample: null };
    spec.steps(visit.state).forEach(({ name, next }) => {
      const key = JSON.stringify(next);
      if (seen.has(key)) return;
      seen.add(key);
      queue.push({ state: next, name, previous: visit });
    });
  }
  return { states: seen.size, complete: true, counterexample: null };
};

export default explore;
