import type { StreamReplica } from '@wisteriapath/log-client';
import type { RoleHolder, RolesState } from '@wisteriapath/ledger';

/** Looks up the holders of roles in the replica of the roles stream. */
class RoleDirectory {
  constructor(
    private readonly replica: StreamReplica<RolesState>,
    private readonly incarnation: string,
  ) {}

  /** Returns the holder as far as this instance knows, undefined if there is none. */
  holder(role: string): RoleHolder | undefined {
    const tenure = this.replica.state.tenures.get(role);
    return tenure === undefined || tenure.released ? undefined : tenure.holder;
  }

  /** Returns the epoch of this instance's tenure, undefined if it does not hold the role. */
  heldEpoch(role: string): number | undefined {
    const isHeld = this.holder(role)?.incarnation === this.incarnation;
    return isHeld ? this.replica.state.tenures.get(role)?.epoch : undefined;
  }

  /** Whether the holder is this process. */
  isSelf(holder: RoleHolder): boolean {
    return holder.incarnation === this.incarnation;
  }
}

export default RoleDirectory;
