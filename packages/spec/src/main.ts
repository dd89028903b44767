/** `npm run model [-- --mutations]`: explores the specifications and prints the results. */
import type Exploration from './Exploration';
import specs from './specs';

const MAX_STATES = 300_000;

const print = (name: string, { states, complete, counterexample }: Exploration): void => {
  const extent = complete ? 'all states' : 'not all states';
  process.stdout.write(`${name}: ${states} states, ${extent}\n`);
  if (counterexample === null) {
    process.stdout.write('  no invariant broken\n');
    return;
  }
  process.stdout.write(`  broken: ${counterexample.invariant}\n`);
  counterexample.steps.forEach((step, index) => {
    process.stdout.write(`  ${index + 1}. ${step}\n`);
  });
};

const isMutationRun = process.argv.includes('--mutations');
const results = (isMutationRun ? specs.mutations : specs.sound).map(({ name, run }) => {
  const result = run(MAX_STATES);
  print(name, result);
  return result.counterexample !== null;
});
process.exitCode = results.every((hasCounterexample) => hasCounterexample === isMutationRun)
  ? 0
  : 1;
