/** The outcome of an append that the store answered. */
interface LeaseAppend {
  readonly isAppended: boolean;
  /** Era of the store in which it was carried out or refused; may be later than that of the position asked for. */
  readonly era: number;
}

export default LeaseAppend;
