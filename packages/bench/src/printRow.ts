/**
 * Prints one row of a Markdown table.
 *
 * @example
 * printRow(['instances', 'appends/s']);
 */
const printRow = (cells: readonly string[]): void => {
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
};

export default printRow;
