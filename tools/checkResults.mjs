/**
 * Checks the JSON results of a jest run: `node tools/checkResults.mjs RESULTS_FILE KNOWN_RED_FILE`. Exits with 1 if
 * a test fails that the file of known failures does not name, if a suite did not run, or if no test passed.
 */
import { readFileSync } from 'node:fs';

const [resultsFile, knownRedFile] = process.argv.slice(2);
const results = JSON.parse(readFileSync(resultsFile, 'utf8'));
const knownRed = readFileSync(knownRedFile, 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim());

const assertions = results.testResults.flatMap((suite) => suite.assertionResults);
const suitesNotRun = results.testResults.filter(
  (suite) => suite.status === 'failed' && suite.assertionResults.length === 0,
);
const withStatus = (status) => assertions.filter((test) => test.status === status);
const failed = withStatus('failed');
const unexpected = failed.filter((test) => !knownRed.includes(test.fullName));

failed
  .filter((test) => knownRed.includes(test.fullName))
  .forEach((test) => console.log(`known red: ${test.fullName}`));
suitesNotRun.forEach((suite) => console.log(`suite did not run: ${suite.name.split('/').pop()}`));
unexpected.forEach((test) => console.log(`failed: ${test.fullName}`));
knownRed
  .filter((name) => !assertions.some((test) => test.fullName === name))
  .forEach((name) => console.log(`known red, but not run: ${name}`));

const failureCount = unexpected.length + suitesNotRun.length;
console.log(`${withStatus('passed').length} passed, ${failureCount} failed`);
process.exitCode = failureCount > 0 || withStatus('passed').length === 0 ? 1 : 0;
