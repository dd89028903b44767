/**
 * Start-time fair queueing: the virtual time at which the next work of each workspace starts. Each start advances it by the cost of
 * the work over the weight of the workspace.
 */
class WorkspaceFairness {
  private readonly virtualStarts = new Map<string, number>();

  private virtualTime = 0;

  /** Returns the virtual time at which the next work of a workspace starts; lower goes first. */
  virtualStart(workspace: string): number {
    return this.virtualStarts.get(workspace) ?? this.virtualTime;
  }

  /** Notes that a workspace has waiting work, which starts no earlier than the virtual time now. */
  join(workspace: string): void {
    if (!this.virtualStarts.has(workspace)) this.virtualStarts.set(workspace, this.virtualTime);
  }

  /** Charges work that starts now to its workspace. */
  charge(workspace: string, cost: number, weight = 1): void {
    const start = this.virtualStart(workspace);
    this.virtualTime = Math.max(this.virtualTime, start);
    this.virtualStarts.set(workspace, this.virtualTime + cost / weight);
  }

  /** Drops the workspaces that have no waiting work and used no more than their share. */
  retain(hasWaitingWork: (workspace: string) => boolean): void {
    this.virtualStarts.forEach((start, workspace) => {
      if (!hasWaitingWork(workspace) && start <= this.virtualTime) {
        this.virtualStarts.delete(workspace);
      }
    });
  }

  /** Forgets all workspaces, because nothing waits. */
  clear(): void {
    this.virtualStarts.clear();
  }
}

export default WorkspaceFairness;
