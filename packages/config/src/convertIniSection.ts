const TRUE_WORDS = new Set(['true', 'yes', 'on']);
const FALSE_WORDS = new Set(['false', 'no', 'off']);
const LIST_VALUED_KEYS = new Set(['workspaces']);
const STRING_VALUED_KEYS = new Set(['model', 'adapter', 'sha256', 'url', 'pool', 'workspace']);

const toCamelCase = (key: string): string =>
  key.replace(/_([a-z])/g, (_match, letter: string) => letter.toUpperCase());

const splitList = (text: string): string[] =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');

const convertScalar = (key: string, raw: unknown): unknown => {
  if (typeof raw === 'boolean' && !STRING_VALUED_KEYS.has(key)) return raw;
  const text = String(raw).trim();
  if (LIST_VALUED_KEYS.has(key)) return splitList(text);
  if (STRING_VALUED_KEYS.has(key)) return text;
  if (TRUE_WORDS.has(text)) return true;
  if (FALSE_WORDS.has(text)) return false;
  return /^-?\d+(\.\d+)?$/.test(text) ? Number(text) : text;
};

/**
 * Converts a parsed INI section into the input of the row schemas, with camel-case keys and with
 * numbers, booleans and lists as values.
 *
 * @example
 * convertIniSection({ deadline_ms: '2000' }); // { deadlineMs: 2000 }
 */
const convertIniSection = (section: Readonly<Record<string, unknown>>): Record<string, unknown> =>
  Object.fromEntries(
    Object.entries(section)
      .filter(([, raw]) => typeof raw !== 'object')
      .map(([key, raw]) => [toCamelCase(key), convertScalar(key, raw)]),
  );

export default convertIniSection;
