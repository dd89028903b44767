import { EngineContact, type EngineRuns } from '@wisteriapath/fleet';

/** An attempt as its engine may know it. */
interface Attempt {
  readonly attemptId: string;
  /** Whether the engine, if it works on the request, has had it for so long that its report shows it. */
  readonly isShown: boolean;
}

type Check = (attempt: Attempt, runs: Omit<EngineRuns, 'contact'>) => boolean;

const yes: Check = () => true;
const no: Check = () => false;

const CHECKS: Readonly<Record<EngineContact, Check>> = {
  [EngineContact.Answered]: ({ attemptId, isShown }, { ids, unlisted }) =>
    !isShown || ids === undefined || ids.has(attemptId) || unlisted > 0,
  [EngineContact.Dropped]: yes,
  [EngineContact.Silent]: yes,
  [EngineContact.Unopened]: yes,
  [EngineContact.Unreachable]: no,
  [EngineContact.Refused]: no,
};

/**
 * Whether an engine that can be reached may still work on an attempt. A pause is no end, as a run may be preempted and go on later;
 * neither is the end of its connection, as some engines go on without one.
 *
 * @example
 * if (!mayStillRun({ attemptId, isShown: true }, await probe.runs(entry))) exchange.abort();
 */
const mayStillRun = (attempt: Attempt, { contact, ...runs }: EngineRuns): boolean =>
  CHECKS[contact](attempt, runs);

export default mayStillRun;
