import type WorkspaceDemand from './WorkspaceDemand';

/** Counts the requests of one route that wait or run, by workspace. */
class DemandCounter {
  private readonly demands = new Map<string, WorkspaceDemand>();

  add(workspace: string, weight: number): void {
    const slots = (this.demands.get(workspace)?.slots ?? 0) + 1;
    this.demands.set(workspace, { workspace, weight, slots });
  }

  remove(workspace: string): void {
    const demand = this.demands.get(workspace);
    if (demand === undefined) return;
    if (demand.slots === 1) this.demands.delete(workspace);
    else this.demands.set(workspace, { ...demand, slots: demand.slots - 1 });
  }

  list(): WorkspaceDemand[] {
    return [...this.demands.values()];
  }
}

export default DemandCounter;
