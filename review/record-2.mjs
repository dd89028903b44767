/** Writes the record of a case: one line for each thing that was sent, answered or run, with the time since the start. */
import { performance } from 'node:perf_hooks';
import { closeSync, openSync, writeSync } from 'node:fs';

const openRecord = (path) => {
  const file = openSync(path, 'w');
  const startedMs = performance.now();
  const nowMs = () => Math.round(performance.now() - startedMs);
  return {
    nowMs,
    line: (what, fields = {}) => {
      const text = Object.entries(fields)
        .map(([name, value]) => `${name}=${value}`)
        .join(' ');
      writeSync(file, `${String(nowMs()).padStart(7)} ${what} ${text}\n`);
    },
    close: () => closeSync(file),
  };
};

export default openRecord;
