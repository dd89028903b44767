/** Which instance reads the store for all. */
import isStoreReader from '../src/isStoreReader';

const NAMES = ['one', 'two', 'three', 'four'];

const readersAmong = (
  candidates: readonly { name: string; reachesStore: boolean; isPlacer: boolean }[],
) =>
  candidates
    .filter((self) =>
      isStoreReader(
        self,
        candidates.filter((other) => other !== self),
      ),
    )
    .map(({ name }) => name);

const candidates = (placers: readonly string[], refused: readonly string[]) =>
  NAMES.map((name) => ({
    name,
    reachesStore: !refused.includes(name),
    isPlacer: placers.includes(name),
  }));

test('one placer reads for all', () => {
  const [reader, ...more] = readersAmong(candidates(['one', 'two'], []));
  expect(['one', 'two']).toContain(reader);
  expect(more).toEqual([]);
});

test('a placer that the store refuses does not read for all', () => {
  expect(readersAmong(candidates(['one', 'two'], ['one']))).toEqual(['two']);
  expect(readersAmong(candidates(['one', 'two'], ['two']))).toEqual(['one']);
});

test('while the store refuses all placers, one of the others reads for all', () => {
  const [reader, ...more] = readersAmong(candidates(['one', 'two'], ['one', 'two']));
  expect(['three', 'four']).toContain(reader);
  expect(more).toEqual([]);
});

test('an instance that the store refuses does not read, even if it knows of no other', () => {
  expect(isStoreReader({ name: 'one', reachesStore: false, isPlacer: true }, [])).toBe(false);
});
