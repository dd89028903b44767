import type { StreamReplica } from '@wisteriapath/log-client';
import type { RoleHolder, RolesState } from '@wisteriapath/ledger';

/** Finds who holds a role. */
class RoleDirectory {
  constructor(
    private readonly replica: StreamReplica<RolesState>,
    private readonly incarnation: string,
  ) {}

  /** The holder as far as this instance knows, undefined if there is none. */
  holder(role: string): RoleHolder | undefined {
    const tenure = this.replica.state.tenures.get(role);
    return tenure === undefined || tenure.released ? undefined : tenure.holder;
  }

  /** Epoch of this instance's tenure, undefined if it does not hold the role. */
  heldEpoch(role: string): number | undefined {
    const isHeld = this.holder(role)?.incarnation === this.incarnation;
    return isHeld ? this.replica.state.tenures.get(role)?.epoch : undefined;
  }

  isSelf(holder: RoleHolder): boolean {
    return holder.incarnation === this.incarnation;
  }
}

export default RoleDirectory;
