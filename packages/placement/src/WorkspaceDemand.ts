/** Slots that one workspace could use: its requests that wait or run. */
interface WorkspaceDemand {
  readonly workspace: string;
  /** Share between workspaces that ask for more than there is. */
  readonly weight: number;
  readonly slots: number;
}

export default WorkspaceDemand;
