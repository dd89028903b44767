/** Judges a jest run: fails on every failed test that KNOWN-RED.txt does not name. */
import { readFileSync } from 'node:fs';

const [resultsFile, knownRedFile] = process.argv.slice(2);
const results = JSON.parse(readFileSync(resultsFile, 'utf8'));
const knownRed = readFileSync(knownRedFile, 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim());

const assertions = results.testResults.flatMap((suite) => suite.assertionResults);
const broken = results.testResults.filter(
  (suite) => suite.status === 'failed' && suite.assertionResults.length === 0,
);
const named = (status) => assertions.filter((test) => test.status === status);
const failed = named('failed');
const unexpected = failed.filter((test) => !knownRed.includes(test.fullName));

failed
  .filter((test) => knownRed.includes(test.fullName))
  .forEach((test) => console.log(`known red: ${test.fullName}`));
broken.forEach((suite) => console.log(`suite did not run: ${suite.name.split('/').pop()}`));
unexpected.forEach((test) => console.log(`failed: ${test.fullName}`));
knownRed
  .filter((name) => !assertions.some((test) => test.fullName === name))
  .forEach((name) => console.log(`known red, but not run: ${name}`));

const bad = unexpected.length + broken.length;
console.log(`${named('passed').length} passed, ${bad} failed`);
process.exitCode = bad > 0 || named('passed').length === 0 ? 1 : 0;
