/** A loop whose step fails goes on with the next one, and says so. */
import runLoop from '../src/runLoop';

test('an error ends the step and not the loop', async () => {
  const lines: string[] = [];
  let steps = 0;
  await runLoop({
    name: 'placer',
    clock: { nowMs: () => 0, sleep: () => Promise.resolve() },
    log: { event: (name, fields) => lines.push(`${name} ${String(fields.loop)}`) },
    isOver: () => steps >= 3,
    step: () => {
      steps += 1;
      return steps === 1 ? Promise.reject(new Error('no engine')) : Promise.resolve();
    },
  });
  expect({ steps, lines }).toEqual({ steps: 3, lines: ['loop_error placer'] });
});
