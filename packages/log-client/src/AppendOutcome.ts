import type OutcomeKind from './OutcomeKind';

/** Final outcome of an append, as `appendUntilSettled` returns it. */
interface AppendOutcome {
  readonly kind: OutcomeKind;
  /** Id under which the record was appended. Appending again under this id has no second effect. */
  readonly id: string;
}

export default AppendOutcome;
