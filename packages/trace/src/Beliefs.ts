import type Belief from './Belief';
import type LogLine from './LogLine';

/** Topic of a belief, and what the line says of it. */
type Reader = (fields: LogLine['fields']) => readonly [topic: string, text: string];

const targetTopic = (id: string): string => `target ${id}`;

/** What each kind of line changes in the belief of the instance that wrote it. */
const READERS: Readonly<Record<string, Reader>> = {
  started: () => ['process', 'running'],
  stopping: () => ['process', 'stopping'],
  desired_state: ({ version }) => ['desired state', `version ${version}`],
  targets_listed: ({ count }) => ['first list of targets', `${count} targets`],
  domains_out: ({ domains }) => ['domains', `out of service: ${domains || 'none'}`],
  store_reachable: ({ reachable, reason }) => [
    'store',
    reachable === 'true' ? 'reachable' : `not reachable (${reason})`,
  ],
  lease_taken: ({ fence }) => ['lease', `held with fence ${fence}`],
  lease_lost: ({ holder }) => ['lease', `lost to ${holder || 'nobody'}`],
  lease_released: () => ['lease', 'released'],
  target_seen: ({ target, address, leaving }) => [
    targetTopic(target),
    `at ${address}${leaving === 'true' ? ', leaving' : ''}`,
  ],
  target_gone: ({ target }) => [targetTopic(target), 'gone'],
};

/** What one instance believes, as its log tells. */
class Beliefs {
  private readonly byTopic = new Map<string, Belief>();

  absorb({ timeMs, event, fields }: LogLine): void {
    const read = READERS[event];
    if (read === undefined) return;
    const [topic, text] = read(fields);
    this.byTopic.set(topic, { text, sinceMs: timeMs });
  }

  /** The beliefs that do not concern a target, and those on one target, by topic. */
  about(target: string): ReadonlyMap<string, Belief> {
    const own = targetTopic(target);
    return new Map(
      [...this.byTopic].filter(([topic]) => !topic.startsWith('target ') || topic === own),
    );
  }
}

export default Beliefs;
