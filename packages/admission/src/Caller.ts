/** The authenticated caller of a request. */
interface Caller {
  /** Workspace of the key; `null` for calls of open routes without a key. */
  readonly workspace: string | null;
  /** Hash of the key's secret; `null` without a key. */
  readonly keySha256: string | null;
}

export default Caller;
