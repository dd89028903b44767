import type ViewEntry from './ViewEntry';
import type LogLine from './LogLine';

/** Reads the topic and the text of a view entry from the fields of a log line. */
type ViewUpdate = (fields: LogLine['fields']) => readonly [topic: string, text: string];

const targetTopic = (id: string): string => `target ${id}`;

const eraTopic = (topic: string): string => `era of the store, topic ${topic}`;

/** How each log event changes the view of the instance that wrote it. */
const VIEW_UPDATES: Readonly<Record<string, ViewUpdate>> = {
  started: () => ['process', 'running'],
  stopping: () => ['process', 'stopping'],
  desired_state: ({ version }) => ['desired state', `version ${version}`],
  targets_listed: ({ count }) => ['first list of targets', `${count} targets`],
  domains_out: ({ domains }) => ['domains', `out of service: ${domains || 'none'}`],
  store_reachable: ({ reachable, reason }) => [
    'store',
    reachable === 'true' ? 'reachable' : `not reachable (${reason})`,
  ],
  records_listed: ({ topic, era, source }) => [eraTopic(topic), `${era}, from ${source}`],
  store_era_changed: ({ topic, new: era, old, source }) => [
    eraTopic(topic),
    `${era} after ${old}, from ${source}`,
  ],
  lease_taken: ({ fence }) => ['lease', `held with fence ${fence}`],
  lease_kept: ({ fence, era }) => ['lease', `held with fence ${fence} in era ${era}`],
  lease_lost: ({ holder, reason }) => [
    'lease',
    `lost to ${holder || 'nobody'} (${reason ?? 'record'})`,
  ],
  lease_released: () => ['lease', 'released'],
  target_seen: ({ target, address, leaving }) => [
    targetTopic(target),
    `at ${address}${leaving === 'true' ? ', leaving' : ''}`,
  ],
  target_gone: ({ target }) => [targetTopic(target), 'gone'],
};

/** The view that one instance has of the system, rebuilt from its log. */
class InstanceView {
  private readonly byTopic = new Map<string, ViewEntry>();

  /** Applies a log line; lines of other events change nothing. */
  applyLine({ timeMs, event, fields }: LogLine): void {
    const update = VIEW_UPDATES[event];
    if (update === undefined) return;
    const [topic, text] = update(fields);
    this.byTopic.set(topic, { text, sinceMs: timeMs });
  }

  /** Returns the entries on one target and those that concern no target, by topic. */
  entriesFor(target: string): ReadonlyMap<string, ViewEntry> {
    const ownTopic = targetTopic(target);
    return new Map(
      [...this.byTopic].filter(([topic]) => !topic.startsWith('target ') || topic === ownTopic),
    );
  }
}

export default InstanceView;
