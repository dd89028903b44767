import type Demand from './Demand';
import type DemandReport from './DemandReport';
import readTargetRows from './readTargetRows';

/** What a report counts at one place, behind the names of the place. */
type Count = DemandReport['rates'][number];

const DEMAND_COUNTS: readonly (keyof Demand)[] = ['waiting', 'waitedMs', 'latencyTargetMs'];
const NAMES_OF_COUNT = 3;

const isText = (value: unknown): value is string => typeof value === 'string';

const isCount = (value: unknown): value is number => Number.isFinite(value) && Number(value) >= 0;

/** Below 0 for a request whose time is up. */
const isTime = (value: unknown): value is number =>
  typeof value === 'number' && !Number.isNaN(value);

/** A field that is absent arrives as null if its sender wrote it as undefined. */
const isAbsentOr = (isValue: (value: unknown) => boolean) => (value: unknown) =>
  value === undefined || value === null || isValue(value);

const isListOf =
  <T>(isItem: (value: unknown) => value is T) =>
  (value: unknown): value is readonly T[] =>
    Array.isArray(value) && value.every(isItem);

const isDemand = (value: unknown): value is Demand => {
  const demand = value as Demand | null | undefined;
  const { pool, model, adapter, leftMs, priority, slackMs } = demand ?? {};
  return (
    isText(pool) &&
    isText(model) &&
    (adapter === null || isText(adapter)) &&
    DEMAND_COUNTS.every((key) => isCount(demand?.[key])) &&
    isAbsentOr(isTime)(leftMs) &&
    isAbsentOr(isCount)(priority) &&
    isAbsentOr(isTime)(slackMs)
  );
};

const isNamedCount = (value: unknown): value is Count =>
  Array.isArray(value) &&
  value.length === NAMES_OF_COUNT + 1 &&
  value.slice(0, NAMES_OF_COUNT).every(isText) &&
  isCount(value[NAMES_OF_COUNT]);

const isReport = (payload: unknown): payload is DemandReport => {
  const report = payload as DemandReport | null | undefined;
  return (
    isText(report?.instance) &&
    isListOf(isDemand)(report.waiting) &&
    isListOf(isText)(report.unreachable) &&
    isListOf(isNamedCount)(report.rates) &&
    isAbsentOr(isListOf(isNamedCount))(report.deferrableRates) &&
    isListOf(isNamedCount)(report.running)
  );
};

/**
 * Returns a payload as a demand report. Throws if it lacks what the placer goes on working with: each planning would fail for as long
 * as the report counts.
 *
 * @example
 * const { waiting } = readDemandReport(payload);
 */
const readDemandReport = (payload: unknown): DemandReport => {
  if (!isReport(payload)) throw new Error('not a demand report');
  const { targets, ...report } = payload;
  return targets === undefined ? report : { ...report, targets: readTargetRows(targets) };
};

export default readDemandReport;
