const MAX_NAMED = 20;

/**
 * Returns names for a log line, separated by commas; the first ones and an ellipsis if there are many.
 *
 * @example
 * nameSome(['a-1', 'a-2']); // 'a-1,a-2'
 */
const nameSome = (names: readonly string[]): string => {
  const named = names.slice(0, MAX_NAMED).join(',');
  return names.length > MAX_NAMED ? `${named},...` : named;
};

export default nameSome;
