import type { UsageMessage } from '@wisteriapath/fleet';
import keptWindows from './keptWindows';

/** What one instance said of one window. */
interface Statement {
  readonly parts: number;
  readonly rows: Map<number, UsageMessage['rows']>;
}

/** Instances of one window beyond which further ones are ignored, so that odd datagrams fill no memory. */
const MAX_INSTANCES = 4_096;

/** The counts that all instances sent, by window. */
class UsageCollector {
  private readonly windows = new Map<number, Map<string, Statement>>();

  /** Takes a part of what an instance counted. What each run of an instance counted is kept on its own. */
  merge({ instance, incarnation, window, part, parts, rows }: UsageMessage): void {
    const statements = this.windows.get(window) ?? new Map<string, Statement>();
    const key = `${instance}#${incarnation}`;
    const known = statements.get(key);
    if (known === undefined && statements.size >= MAX_INSTANCES) return;
    const statement = known?.parts === parts ? known : { parts, rows: new Map() };
    statement.rows.set(part, rows);
    statements.set(key, statement);
    this.windows.set(window, statements);
  }

  /** Returns the instances, as `name#incarnation`, that sent all their counts of a window. */
  reportedBy(window: number): ReadonlySet<string> {
    const statements = [...(this.windows.get(window) ?? [])];
    return new Set(
      statements.filter(([, { parts, rows }]) => rows.size === parts).map(([key]) => key),
    );
  }

  /** Returns the sums of all that was received for a window, by workspace in the order of their names. */
  sum(window: number): Readonly<Record<string, number>> {
    const sums = new Map<string, number>();
    this.windows.get(window)?.forEach(({ rows }) => {
      [...rows.values()].flat().forEach(([workspace, count]) => {
        sums.set(workspace, (sums.get(workspace) ?? 0) + count);
      });
    });
    return Object.fromEntries([...sums].sort(([one], [other]) => (one < other ? -1 : 1)));
  }

  /** Forgets what is too old, or too far ahead, to be decided. */
  retain(currentWindow: number): void {
    this.windows.forEach((_, window) => {
      if (Math.abs(window - currentWindow) > keptWindows) this.windows.delete(window);
    });
  }
}

export default UsageCollector;
