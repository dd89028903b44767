import { EngineContact, type EngineRuns } from '@wisteriapath/fleet';

/** An attempt as its engine may know it. */
interface Attempt {
  readonly attemptId: string;
  /** Whether its first event has arrived, so that the engine lists it unless it waits or has ended. */
  readonly hasBegun: boolean;
}

const CHECKS: Readonly<
  Record<EngineContact, (attempt: Attempt, runs: Omit<EngineRuns, 'contact'>) => boolean>
> = {
  [EngineContact.Answered]: ({ attemptId, hasBegun }, { ids, unlisted }) =>
    !hasBegun || ids === undefined || ids.has(attemptId) || unlisted > 0,
  [EngineContact.Dropped]: () => true,
  [EngineContact.Unreachable]: () => false,
};

/**
 * Whether an engine that can be reached may still work on an attempt. A pause is no end: a run may be preempted and go on later.
 *
 * @example
 * if (!mayStillRun({ attemptId, hasBegun }, await probe.runs(entry))) exchange.abort();
 */
const mayStillRun = (attempt: Attempt, { contact, ...runs }: EngineRuns): boolean =>
  CHECKS[contact](attempt, runs);

export default mayStillRun;
