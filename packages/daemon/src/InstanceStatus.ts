/** What an instance tells operators of itself and of those it knows. */
interface InstanceStatus {
  readonly instance: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  readonly ready: boolean;
  /** Offset up to which the configuration is in force here. */
  readonly configOffset: number;
  /** Time since that view is known to have been complete; `null` if it never was. */
  readonly configAgeMs: number | null;
  readonly peers: readonly {
    readonly name: string;
    readonly failureDomain: string;
    readonly configOffset: number | null;
    /** Time since the peer last answered; `null` if it never did. */
    readonly silentMs: number | null;
  }[];
  readonly roles: readonly {
    readonly role: string;
    readonly holder: string;
    readonly epoch: number;
    readonly reason: string;
    readonly released: boolean;
    /** Earlier holders that were taken over on silence and may still be alive. */
    readonly unproved: readonly string[];
  }[];
  /** Targets of the own failure domain, where this instance is its placer. */
  readonly targets: readonly {
    readonly name: string;
    readonly usable: boolean;
    readonly window: number;
    readonly slotsTaken: number;
    readonly assets: readonly { readonly id: string; readonly phase: string }[];
  }[];
}

export default InstanceStatus;
