import type { LeaseContent, StorePosition } from '@wisteriapath/fleet';

interface Entry extends LeaseContent {
  readonly writtenInEra: number;
}

/** An append on its way; its caller may wait for the answer or have given up. */
interface Append {
  readonly at: StorePosition;
  readonly content: LeaseContent;
}

/** An append whose caller waits for the answer. */
interface Call extends Append {
  /** Ticks since it was sent. */
  readonly age: number;
  /** Ticks until the first order if it takes the lease; `null` for a renewal. */
  readonly orderWait: number | null;
}

interface Tenure {
  readonly fence: number;
  readonly next: StorePosition;
  /** Ticks since the renewal in force was sent. */
  readonly age: number;
  readonly orderWait: number;
  /** Ticks since an append at `next` of unknown outcome was first sent. */
  readonly unknownAge: number | null;
  /** Whether the store has to be asked what it keeps. */
  readonly isDoubtful: boolean;
}

interface Machine {
  readonly incarnation: number;
  readonly tenure: Tenure | null;
  readonly hasLostTenure: boolean;
  /** Newest record that was seen while waiting for another holder's authority to end, and since when. */
  readonly observed: { readonly position: StorePosition; readonly age: number } | null;
  readonly call: Call | null;
}

/** A state of the lease, its store and the machines that may hold it. */
interface LeaseModel {
  readonly era: number;
  readonly entries: readonly Entry[];
  readonly machines: readonly Machine[];
  /** An append whose caller has given up, and which may still be carried out; `null` if there is none. */
  readonly stray: Append | null;
  /** The newest order that an engine received, and the highest token. */
  readonly order: { readonly machine: number; readonly fence: number; readonly age: number } | null;
  readonly returnsLeft: number;
  readonly restartsLeft: number;
  readonly lateLeft: number;
  readonly broken: string | null;
}

export default LeaseModel;
