/** Of the requests that were on a target when it crashed, only those are suspected that may have been the cause. */
import PoisonRegistry from '../src/PoisonRegistry';
import PoisonStatus from '../src/PoisonStatus';

type Suspicions = Parameters<PoisonRegistry['merge']>[0];

/** Creates instances that tell each other their suspicions at once. */
const createInstances = (count: number): PoisonRegistry[] => {
  const instances: PoisonRegistry[] = [];
  const tell = (from: number) => async (suspicions: Suspicions) =>
    instances.forEach((instance, index) => {
      if (index !== from) instance.merge(suspicions);
    });
  for (let index = 0; index < count; index += 1) instances.push(new PoisonRegistry(tell(index)));
  return instances;
};

test('a request that a target had begun to answer is not suspected of its crash', () => {
  const [registry] = createInstances(1);
  const answered = registry.trackInflight('engine-1', 'answered');
  const cause = registry.trackInflight('engine-1', 'cause');
  answered.begun();
  cause.targetCrashed();
  expect(registry.statusOf('answered')).toBe(PoisonStatus.Clear);
  expect(registry.statusOf('cause')).toBe(PoisonStatus.Suspect);
});

test('one crash that several instances see counts once', () => {
  const instances = createInstances(3);
  const tracked = instances.map((instance) => instance.trackInflight('engine-1', 'same'));
  tracked.forEach((request) => request.targetCrashed());
  expect(instances.map((instance) => instance.statusOf('same'))).toEqual(
    Array(3).fill(PoisonStatus.Suspect),
  );
});

test('crashes of two targets quarantine a request', () => {
  const [registry] = createInstances(1);
  registry.trackInflight('engine-1', 'cause').targetCrashed();
  registry.trackInflight('engine-2', 'cause').targetCrashed();
  expect(registry.statusOf('cause')).toBe(PoisonStatus.Quarantined);
});

test('a request under which targets crash again and again in the middle of the answer is stopped too', () => {
  const [registry] = createInstances(1);
  const crashWhileAnswering = (target: string) => {
    const request = registry.trackInflight(target, 'late cause');
    request.begun();
    request.targetCrashed();
  };
  ['engine-1', 'engine-2'].forEach(crashWhileAnswering);
  expect(registry.statusOf('late cause')).toBe(PoisonStatus.Clear);
  ['engine-3', 'engine-4', 'engine-5', 'engine-6'].forEach(crashWhileAnswering);
  expect(registry.statusOf('late cause')).toBe(PoisonStatus.Quarantined);
});
