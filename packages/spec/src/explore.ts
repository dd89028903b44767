import type Exploration from './Exploration';
import type Spec from './Spec';

interface Visit<S> {
  readonly state: S;
  readonly stepName: string;
  readonly previous: Visit<S> | undefined;
}

const stepsTo = <S>(last: Visit<S>): string[] => {
  const names: string[] = [];
  let visit: Visit<S> | undefined = last;
  while (visit?.previous !== undefined) {
    names.unshift(visit.stepName);
    visit = visit.previous;
  }
  return names;
};

/**
 * Visits every state that can be reached, breadth first, so that a counterexample is a shortest one.
 *
 * @example
 * explore(claimsSpec([]), 200_000).counterexample;
 */
const explore = <S>(spec: Spec<S>, maxStates: number): Exploration => {
  const queue: Visit<S>[] = [{ state: spec.initial, stepName: 'start', previous: undefined }];
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
      queue.push({ state: next, stepName: name, previous: visit });
    });
  }
  return { states: seen.size, complete: true, counterexample: null };
};

export default explore;
