import { systemClock } from '@wisteriapath/model';
import type RunningStandin from './RunningStandin';
import readJson from './readJson';
import startStandin from './startStandin';

interface Options {
  readonly port?: number;
  /** Delay until a change becomes visible. */
  readonly lagMs?: number;
}

/**
 * Starts the instance list stand-in. `PUT /instances/NAME` and `DELETE /instances/NAME` simulate
 * the platform, which adds an instance when it starts and removes it when it ends.
 *
 * @example
 * const list = await startInstanceList({ lagMs: 200 });
 */
const startInstanceList = ({ port = 0, lagMs = 0 }: Options = {}): Promise<RunningStandin> => {
  const instances = new Map<string, object>();
  const applyAfterLag = (change: () => void) => {
    if (lagMs === 0) change();
    else void systemClock.sleep(lagMs).then(change);
  };
  return startStandin({
    port,
    state: () => ({ instances: [...instances.values()] }),
    routes: (router) => {
      router.get('/instances', (context) => {
        context.body = { instances: [...instances.values()] };
      });
      router.put('/instances/:name', async (context) => {
        const { name } = context.params;
        const row = await readJson<object>(context);
        applyAfterLag(() => instances.set(name, { leaving: false, ...row, name }));
        context.body = {};
      });
      router.delete('/instances/:name', (context) => {
        applyAfterLag(() => instances.delete(context.params.name));
        context.body = {};
      });
    },
  });
};

export default startInstanceList;
