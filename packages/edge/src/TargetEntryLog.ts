import type { EventLog, KeyedRecord, RegisteredTarget } from '@wisteriapath/fleet';

/** Log lines about the entries that targets write of themselves. */
class TargetEntryLog {
  constructor(private readonly log: EventLog) {}

  /** An entry that does not fit what is known of its target. */
  ignored(
    { id, pool, failureDomain, entryNumber, bornMs }: RegisteredTarget,
    { position: { offset } }: KeyedRecord,
    source: string,
  ): void {
    const said = { pool, zone: failureDomain, entry: entryNumber, born_ms: bornMs };
    this.log.event('target_entry_ignored', { target: id, ...said, offset, source });
  }

  /** A target that is new, or whose leaving is. */
  seen(
    { id, pool, address, isLeaving, remainingMs, coldLeftMs, entryNumber }: RegisteredTarget,
    { position: { offset }, ageMs }: KeyedRecord,
    source: string,
  ): void {
    this.log.event('target_seen', {
      target: id,
      pool,
      address,
      leaving: isLeaving,
      ...(remainingMs !== undefined && { gone_in_ms: remainingMs ?? 'unusable' }),
      cold_ms: coldLeftMs,
      entry: entryNumber,
      source,
      offset,
      age_ms: Math.round(ageMs),
    });
  }

  /** A target that is cold for longer than was known. */
  cold({ id, coldLeftMs, entryNumber, bornMs }: RegisteredTarget): void {
    const fields = { target: id, cold_ms: coldLeftMs, entry: entryNumber, born_ms: bornMs };
    this.log.event('target_cold', fields);
  }
}

export default TargetEntryLog;
