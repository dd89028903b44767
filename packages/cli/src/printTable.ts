import Table from 'cli-table3';

const NO_BORDER = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

/**
 * Prints rows in columns under a header.
 *
 * @example
 * printTable(['name', 'version'], [['cup-guide', '3']]);
 */
const printTable = (head: readonly string[], rows: readonly (readonly string[])[]): void => {
  const table = new Table({
    head: [...head],
    chars: NO_BORDER,
    style: { 'padding-left': 0, 'padding-right': 0, head: [], border: [] },
  });
  rows.forEach((row) => table.push([...row]));
  process.stdout.write(`${table.toString()}\n`);
};

export default printTable;
