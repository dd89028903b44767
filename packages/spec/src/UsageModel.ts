interface UsageRecord {
  readonly kind: 'lease' | 'decision' | 'mark';
  /** Fencing token of the tenure that wrote it. */
  readonly fence: number;
  /** Counts of a decision, by an id; 0 for other records. */
  readonly content: number;
  /** Era of a mark. */
  readonly era: number;
  /** Whether the window may still be decided after a mark. */
  readonly isOpen: boolean;
}

/** An append on its way; its caller may wait for the answer or have given up. */
interface UsageAppend {
  readonly at: number;
  readonly record: UsageRecord;
}

/** What a machine knows in its tenure. */
interface UsageTenure {
  readonly fence: number;
  readonly next: { readonly era: number; readonly offset: number };
  /** Whether it has read what earlier holders decided. */
  readonly isLoaded: boolean;
  /** Era in which its knowledge is known to be stored; -1 for none. */
  readonly markedEra: number;
  readonly mayDecide: boolean;
  /** The decision that is known to be stored; 0 for none. */
  readonly known: number;
  /** The decision of which an append was tried; 0 for none. */
  readonly proposed: number;
  /** Whether the known decision was appended again in an era without a mark. */
  readonly isRewritten: boolean;
  readonly call: UsageAppend | null;
}

/** A state of the usage duty: one window that has ended, its store and the machines that may report it. */
interface UsageModel {
  readonly era: number;
  readonly log: readonly UsageRecord[];
  /** The machine that has authority; `null` while none has. */
  readonly holder: number | null;
  readonly tenures: readonly (UsageTenure | null)[];
  /** An append whose caller has given up, and which may still be carried out. */
  readonly stray: UsageAppend | null;
  /** The report of each machine that is on its way to the interface. */
  readonly reports: readonly ({ readonly fence: number; readonly content: number } | null)[];
  /** The content and the token that the interface received last; 0 for none. */
  readonly received: { readonly content: number; readonly fence: number };
  readonly contents: number;
  readonly takes: number;
  readonly returnsLeft: number;
  readonly lateLeft: number;
  readonly broken: string | null;
}

export default UsageModel;
