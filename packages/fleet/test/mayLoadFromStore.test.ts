/** Guards that a model with copies is not loaded for 10 s while its callers leave after 2 s. */
import mayLoadFromStore from '../src/mayLoadFromStore';

const SPEC = { storeLoadMs: 10_200 };
const order = { priority: 0, slackMs: 700, rank: 0 };

test.each([
  [
    'a model with copies in a deferring pool may not',
    { order, isFromStore: false, unservedMs: 1_000 },
    false,
  ],
  [
    'one that has long been asked for in vain may',
    { order, isFromStore: false, unservedMs: 10_200 },
    true,
  ],
  ['a model without copies may', { order, isFromStore: true, unservedMs: 0 }, true],
  [
    'any model of another pool may, as before',
    { order: null, isFromStore: false, unservedMs: 0 },
    true,
  ],
])('%s come from the store', (_, waiting, expected) => {
  expect(mayLoadFromStore(waiting, SPEC)).toBe(expected);
});
