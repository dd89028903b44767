import type UsageDutyContent from './UsageDutyContent';

const isPair = (value: unknown, isItem: (item: unknown) => boolean): boolean =>
  value === null || (Array.isArray(value) && value.length === 2 && value.every(isItem));

const isUsageDutyContent = (value: unknown): value is UsageDutyContent => {
  const content = value as UsageDutyContent | null | undefined;
  return (
    Number.isSafeInteger(content?.decidedThrough) &&
    isPair(content!.lease, Number.isSafeInteger) &&
    isPair(content!.time, Number.isFinite)
  );
};

/**
 * Returns what a heartbeat says of the usage duty; `undefined` if it says nothing, or nothing that can be used.
 *
 * @example
 * const duty = readUsageDutyContent(heartbeat.usageDuty);
 */
const readUsageDutyContent = (value: unknown): UsageDutyContent | undefined =>
  isUsageDutyContent(value) ? value : undefined;

export default readUsageDutyContent;
