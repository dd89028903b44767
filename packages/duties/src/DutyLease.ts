import type { LeaseAppend, StorePosition } from '@wisteriapath/fleet';

/** The lease of a duty. */
interface DutyLease {
  readonly holder: string;
  readonly fence: number;
  /** Position of the newest record of the tenure. */
  readonly position: StorePosition | undefined;
  isHeld(): boolean;
  /** Appends a further record at the next position of the tenure; resolves to whether it is known to be stored. */
  appendEntry(append: (at: StorePosition) => Promise<LeaseAppend | undefined>): Promise<boolean>;
}

export default DutyLease;
