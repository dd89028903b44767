/** Clients that all do the same, and open their connections again once they have left or were closed. */
interface CrowdGroup {
  readonly clients: number;
  /** What each connection begins with. `{n}` is replaced by an identifier of the connection. */
  readonly head: string;
  /** Bytes of the body, written `times` times. */
  readonly block?: string;
  readonly times?: number;
  /** Time between two blocks; by default they are written as fast as the connection takes them. */
  readonly intervalMs?: number;
  /** Written behind the blocks. */
  readonly tail?: string;
  /** Time after which a client leaves that has written all; by default it stays until it is closed. */
  readonly stayMs?: number;
  /** Whether it leaves by a reset. */
  readonly isReset?: boolean;
  /** Time before a client opens its connection again; by default it does so at once. */
  readonly againMs?: number;
}

export default CrowdGroup;
