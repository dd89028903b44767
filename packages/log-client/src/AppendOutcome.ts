import type SettlementKind from './SettlementKind';

/** Outcome of `appendUntilSettled`. */
interface AppendOutcome {
  readonly kind: SettlementKind;
  /** Id under which the record was appended; a repeat under it is harmless. */
  readonly id: string;
}

export default AppendOutcome;
