import type UsageMessage from './UsageMessage';

const TEXTS: readonly (keyof UsageMessage)[] = ['instance', 'incarnation'];
const COUNTS: readonly (keyof UsageMessage)[] = ['window', 'part', 'parts'];
/** More parts than the workspaces of a deployment can fill. */
const MAX_PARTS = 1_000;

const isCount = (value: unknown): boolean => Number.isSafeInteger(value) && Number(value) >= 0;

const isRow = (value: unknown): boolean =>
  Array.isArray(value) && value.length === 2 && typeof value[0] === 'string' && isCount(value[1]);

const isUsageMessage = (payload: unknown): payload is UsageMessage => {
  const message = payload as UsageMessage | null | undefined;
  return (
    TEXTS.every((key) => typeof message?.[key] === 'string') &&
    COUNTS.every((key) => isCount(message?.[key])) &&
    message!.part < message!.parts &&
    message!.parts <= MAX_PARTS &&
    Array.isArray(message?.rows) &&
    message.rows.every(isRow)
  );
};

/**
 * Returns a payload as counts of an instance. Throws if it is none: a wrong count would be decided and reported.
 *
 * @example
 * const { window, rows } = readUsageMessage(payload);
 */
const readUsageMessage = (payload: unknown): UsageMessage => {
  if (!isUsageMessage(payload)) throw new Error('not a usage message');
  return payload;
};

export default readUsageMessage;
