import type { UsageMessage } from '@wisteriapath/fleet';

type Row = UsageMessage['rows'][number];

/** Bytes of rows in one message, below what fits into one packet. */
const MAX_ROWS_BYTES = 1_000;
/** Bytes of a row besides its name. */
const COUNT_BYTES = 12;

/**
 * Splits the counts of one window into messages that fit into one packet each. Without counts there is one message, which
 * says that the instance had none.
 *
 * @example
 * usageMessages({ instance, incarnation, window }, counts).forEach((message) => peers.sendUsage(host, message));
 */
const usageMessages = (
  origin: Pick<UsageMessage, 'instance' | 'incarnation' | 'window'>,
  counts: ReadonlyMap<string, number>,
): readonly UsageMessage[] => {
  const batches: Row[][] = [[]];
  let bytes = 0;
  counts.forEach((count, workspace) => {
    bytes += Buffer.byteLength(workspace) + COUNT_BYTES;
    if (bytes > MAX_ROWS_BYTES) {
      batches.push([]);
      bytes = Buffer.byteLength(workspace) + COUNT_BYTES;
    }
    batches.at(-1)!.push([workspace, count]);
  });
  return batches.map((rows, part) => ({ ...origin, part, parts: batches.length, rows }));
};

export default usageMessages;
