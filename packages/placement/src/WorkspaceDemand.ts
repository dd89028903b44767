/** The demand of one workspace for slots: its requests that wait or run. */
interface WorkspaceDemand {
  readonly workspace: string;
  /** Relative share of the workspace when slots are scarce. */
  readonly weight: number;
  readonly slots: number;
}

export default WorkspaceDemand;
