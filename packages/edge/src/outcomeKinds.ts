import AttemptOutcome from './AttemptOutcome';

/** What the outcomes of attempts have in common for what comes next. */
const outcomeKinds = {
  /** The target may have run the request. */
  possiblyExecuted: new Set<AttemptOutcome>([
    AttemptOutcome.Broken,
    AttemptOutcome.Failed,
    AttemptOutcome.Moved,
    AttemptOutcome.Stalled,
    AttemptOutcome.UnconfirmedRefusal,
  ]),
  /** They tell how long answers take: one that its deadline ended took at least as long. */
  timed: new Set<AttemptOutcome>([AttemptOutcome.Answered, AttemptOutcome.DeadlineExceeded]),
  /** An engine that can be reached may still work on a resumable stream. */
  cutOff: new Set<AttemptOutcome>([AttemptOutcome.Broken, AttemptOutcome.Moved]),
  /** This instance itself has ended the run, so that its stream goes on elsewhere. */
  taken: new Set<AttemptOutcome>([AttemptOutcome.Moved, AttemptOutcome.Stalled]),
  /** Another attempt takes no retry: no target got the request, or it was taken before. */
  withoutRetry: new Set<AttemptOutcome>([
    AttemptOutcome.NotSent,
    AttemptOutcome.Withheld,
    AttemptOutcome.Moved,
    AttemptOutcome.Stalled,
  ]),
} as const;

export default outcomeKinds;
