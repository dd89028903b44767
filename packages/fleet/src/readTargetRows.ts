import type TargetRow from './TargetRow';

const FIGURES = 4;
const MAX_ROWS = 64;
/** Bounds of figures that are believed: a pace of 100 s, a load of 100,000 requests, a work time of 1,000 times the usual. */
const MAX_PACE = 1_000_000;
const MAX_LOAD = 100_000;
const MAX_WORK_TIME = 100_000;

const isWithin = (value: unknown, most: number): boolean =>
  typeof value === 'number' && value >= 0 && value <= most;

const isRow = (value: unknown): value is TargetRow => {
  if (!Array.isArray(value) || value.length <= FIGURES) return false;
  const [id, pace, load, workTime, bornMs] = value as readonly unknown[];
  return (
    typeof id === 'string' &&
    isWithin(pace, MAX_PACE) &&
    isWithin(load, MAX_LOAD) &&
    isWithin(workTime, MAX_WORK_TIME) &&
    workTime !== 0 &&
    Number.isFinite(bornMs)
  );
};

/**
 * Returns the rows of targets in a payload, of instances or of a placer. Rows with figures that no target can have are left out, as is
 * what exceeds the number of rows that one datagram can hold.
 *
 * @example
 * readTargetRows([['i-1', 470, 3, 100, 1_764_000_000_000]]);
 */
const readTargetRows = (payload: unknown): readonly TargetRow[] =>
  Array.isArray(payload) ? payload.slice(0, MAX_ROWS).filter(isRow) : [];

export default readTargetRows;
