import { type StoreFollower, StoreTopic } from '@wisteriapath/fleet';
import type EdgeDependencies from './EdgeDependencies';
import type EdgeListeners from './EdgeListeners';
import ReadinessLog from './ReadinessLog';
import type StoreView from './StoreView';

/** What an instance needs to be ready. */
interface Needs {
  readonly listeners: EdgeListeners;
  readonly view: StoreView;
  readonly follower: StoreFollower;
}

/** Returns what has not been read; the store, too, if it has not answered. */
const unreadOf = ({ view, follower }: Needs): readonly string[] => {
  const isUnread = {
    desired_state: view.desired === undefined,
    targets: view.end(StoreTopic.Targets) === undefined,
  };
  const unread = Object.entries(isUnread).flatMap(([name, isMissing]) => (isMissing ? [name] : []));
  return unread.length > 0 && !follower.isReachable ? ['store', ...unread] : unread;
};

/**
 * Creates the log of the start of an instance, which names the ports that are not open and what has not been read.
 *
 * @example
 * void createReadinessLog(deps, { listeners, view, follower }).run();
 */
const createReadinessLog = (
  { clock, log, isStopping }: Pick<EdgeDependencies, 'clock' | 'log' | 'isStopping'>,
  needs: Needs,
): ReadinessLog =>
  new ReadinessLog({
    clock,
    log,
    isReady: () => needs.listeners.isReady,
    isOver: isStopping,
    waitsFor: () => [...needs.listeners.unopened, ...unreadOf(needs)],
  });

export default createReadinessLog;
