/** The order of nodes for a key depends on the key and the nodes only. */
import { rendezvousOrder } from '../src';

const NODES = ['a', 'b', 'c', 'd', 'e'];
const MORE_KEYS_THAN_ARE_CACHED = 10_000;

test('the order of a key stays the same after many other keys', () => {
  const before = rendezvousOrder('model', NODES);
  for (let number = 0; number < MORE_KEYS_THAN_ARE_CACHED; number += 1) {
    rendezvousOrder(`other-${number}`, NODES);
  }
  expect(rendezvousOrder('model', NODES)).toEqual(before);
  expect([...before].sort()).toEqual(NODES);
});

test('a node that goes changes nothing in the order of the others', () => {
  const [first, ...others] = rendezvousOrder('model', NODES);
  expect(
    rendezvousOrder(
      'model',
      NODES.filter((node) => node !== first),
    ),
  ).toEqual(others);
});

test('different keys have different first nodes', () => {
  const firsts = Array.from({ length: 50 }, (_, number) => rendezvousOrder(`m${number}`, NODES)[0]);
  expect(new Set(firsts)).toEqual(new Set(NODES));
});
