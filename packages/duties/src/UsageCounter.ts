import type TrueTime from './TrueTime';
import keptWindows from './keptWindows';

/** Counts the requests that engines began, by workspace and window of true time. */
class UsageCounter {
  private readonly windows = new Map<number, Map<string, number>>();

  private unplacedCount = 0;

  constructor(
    private readonly time: TrueTime,
    private readonly windowMs: number,
  ) {}

  /** Requests that were counted nowhere, as the true time was not known yet. */
  get unplaced(): number {
    return this.unplacedCount;
  }

  /** Counts a request that an engine has just begun to answer. */
  record(workspace: string): void {
    const { nowMs } = this.time;
    if (nowMs === undefined) {
      this.unplacedCount += 1;
      return;
    }
    const window = Math.floor(nowMs / this.windowMs);
    const counts = this.windows.get(window) ?? new Map<string, number>();
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    this.windows.set(window, counts);
    this.windows.forEach((_, kept) => {
      if (Math.abs(kept - window) > keptWindows) this.windows.delete(kept);
    });
  }

  /** Returns the counts of all windows that are kept, the one under way included; for an instance that counts no more. */
  get allWindows(): readonly {
    readonly window: number;
    readonly counts: ReadonlyMap<string, number>;
  }[] {
    return [...this.windows].map(([window, counts]) => ({ window, counts }));
  }

  /** Returns the counts of the complete windows from `firstWindow` on that are still kept, those without requests included. */
  completeWindows(
    firstWindow: number,
  ): readonly { readonly window: number; readonly counts: ReadonlyMap<string, number> }[] {
    const { bounds } = this.time;
    if (bounds === undefined) return [];
    const current = Math.floor(bounds.lowMs / this.windowMs);
    const first = Math.max(firstWindow, current - keptWindows);
    return Array.from({ length: Math.max(0, current - first) }, (_, index) => {
      const window = first + index;
      return { window, counts: this.windows.get(window) ?? new Map<string, number>() };
    });
  }
}

export default UsageCounter;
