/** Maximum length of all ids of one connection together: enough for some hundred requests, and a bound for long ids. */
const MAX_ID_CHARS = 8_192;

/**
 * What one connection has carried. A server may write an answer twice; the second copy then stands where the answer to a later
 * request is due, and only the id that answers repeat tells them apart. So a connection carries no id twice.
 *
 * @example
 * history.record('attempt-1');
 * history.mayCarry({ exchangeId: 'attempt-1' }); // false
 */
class ConnectionHistory {
  private readonly ids = new Set<string>();

  private idChars = 0;

  private exchanges = 0;

  private isRetired = false;

  /** Whether the connection has carried nothing. */
  get isUnused(): boolean {
    return this.exchanges === 0;
  }

  /** Whether an exchange may still go over the connection. */
  mayCarry(exchangeId: string | undefined, needsNewConnection: boolean): boolean {
    if (this.isRetired || this.idChars >= MAX_ID_CHARS) return false;
    if (needsNewConnection) return this.isUnused;
    return exchangeId === undefined || !this.ids.has(exchangeId);
  }

  /** Whether an answer that bears this id may belong to an earlier exchange of the connection; one without an id always may. */
  isAmbiguous(exchangeId: string | undefined): boolean {
    return exchangeId === undefined ? !this.isUnused : this.ids.has(exchangeId);
  }

  /** Counts an exchange as carried. */
  record(exchangeId: string | undefined): void {
    this.exchanges += 1;
    if (exchangeId === undefined || this.ids.has(exchangeId)) return;
    this.ids.add(exchangeId);
    this.idChars += exchangeId.length;
  }

  /** Keeps the connection from carrying anything more. */
  retire(): void {
    this.isRetired = true;
  }
}

export default ConnectionHistory;
