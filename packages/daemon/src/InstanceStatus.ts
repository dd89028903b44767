/** The status of an instance, its peers, roles and targets, as operators read it. */
interface InstanceStatus {
  readonly instance: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  readonly ready: boolean;
  /** Next offset of the configuration stream; all records before it are in force here. */
  readonly configOffset: number;
  /** Milliseconds since the configuration last equalled the end of the log; `null` if it never did. */
  readonly configAgeMs: number | null;
  readonly peers: readonly {
    readonly name: string;
    readonly failureDomain: string;
    readonly configOffset: number | null;
    /** Milliseconds since the peer last answered a heartbeat; `null` if it never did. */
    readonly silentMs: number | null;
  }[];
  readonly roles: readonly {
    readonly role: string;
    readonly holder: string;
    readonly epoch: number;
    readonly reason: string;
    readonly released: boolean;
    /** Names of earlier holders that were replaced because they were silent and may still be alive. */
    readonly unproved: readonly string[];
  }[];
  /** Targets of the own failure domain; empty unless this instance is its placer. */
  readonly targets: readonly {
    readonly name: string;
    readonly usable: boolean;
    readonly window: number;
    readonly slotsTaken: number;
    readonly assets: readonly { readonly id: string; readonly phase: string }[];
  }[];
}

export default InstanceStatus;
