import type { Clock } from '@wisteriapath/model';
import { SuspectRegistry, type SuspectUpdate } from '../../src';

class ManualClock implements Clock {
  now = 0;

  nowMs = () => this.now;

  sleep = (durationMs: number) => {
    this.now += durationMs;
    return Promise.resolve();
  };
}

const MAX_TRAITS = 50;
const silentLog = { event: () => {} };

/** Creates an instance that has no peers. */
const createSingle = (clock: Clock) =>
  new SuspectRegistry(
    { clock, log: silentLog, announce: () => {}, onQuarantineChanged: () => {} },
    MAX_TRAITS,
  );

/** Creates instances whose updates wait until they are delivered. */
const createFleet = (size: number) => {
  const clock = new ManualClock();
  const waiting: { readonly to: number; readonly update: SuspectUpdate }[] = [];
  const registries = Array.from(
    { length: size },
    (_, from) =>
      new SuspectRegistry(
        {
          clock,
          log: silentLog,
          onQuarantineChanged: () => {},
          announce: (update) => {
            const others = Array.from({ length: size }, (__, to) => to).filter((to) => to !== from);
            waiting.push(...others.map((to) => ({ to, update })));
          },
        },
        MAX_TRAITS,
      ),
  );
  const deliver = () => waiting.splice(0).forEach(({ to, update }) => registries[to].merge(update));
  return { clock, registries, waiting, deliver };
};

const crash = (registry: SuspectRegistry, crashId: string, traits: string[], sentAtMs: number) =>
  registry.recordCrash({ crashId, hasEnded: true, traits, sentAtMs });

const check = (registry: SuspectRegistry, ...traits: string[]) => registry.check(traits).decision;

export default { MAX_TRAITS, createSingle, createFleet, crash, check };
