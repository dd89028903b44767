/** `npm run bench -- KIND`: takes one measurement and prints its figures. */
import cac from 'cac';
import measureBodies from './measureBodies';
import measureClaims from './measureClaims';
import measureColdStarts from './measureColdStarts';
import measureControl from './measureControl';
import measureEdits from './measureEdits';
import measureFairness from './measureFairness';
import measureOverhead from './measureOverhead';
import measureRefusals from './measureRefusals';
import measureState from './measureState';
import measureZones from './measureZones';

const MEASUREMENTS: Readonly<Record<string, () => Promise<void>>> = {
  refusals: measureRefusals,
  control: measureControl,
  edits: measureEdits,
  claims: measureClaims,
  state: measureState,
  overhead: measureOverhead,
  fairness: measureFairness,
  zones: measureZones,
  bodies: measureBodies,
  'cold-starts': measureColdStarts,
};
const EXIT_USAGE = 2;

const cli = cac('bench');
cli
  .command('<kind>', `Measure: ${Object.keys(MEASUREMENTS).join(', ')}`)
  .action(async (kind: string) => {
    const measure = MEASUREMENTS[kind];
    if (measure === undefined) {
      process.stderr.write(`unknown measurement ${kind}\n`);
      process.exitCode = EXIT_USAGE;
      return;
    }
    await measure();
  });
cli.help();
cli.parse();
