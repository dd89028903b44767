/** Guards which pools have their waiting work ordered anew: all others are to be served as before. */
import type { DesiredState, PathRoute } from '../src';
import { deferringPools } from '../src';

const route = (latencyTargetMs: number, priority: number, pool = 'guides') =>
  ({ latencyTargetMs, priority, pools: [{ name: pool, weight: 1 }] }) as unknown as PathRoute;

const stateOf = (...routes: readonly PathRoute[]) =>
  ({
    routes,
    pools: new Map([
      ['guides', {}],
      ['other', {}],
    ]),
  }) as unknown as DesiredState;

test.each([
  ['a slow route beside a more urgent one', [route(502, 0), route(5_002, 2)], ['guides']],
  ['only routes of one priority', [route(502, 1), route(5_002, 1)], []],
  ['a slow route that is the most urgent', [route(502, 2), route(5_002, 0)], []],
  ['a less urgent route that is not slow', [route(502, 0), route(2_999, 2)], []],
  ['the urgent route in another pool', [route(502, 0, 'other'), route(5_002, 2)], []],
  ['no route at all', [], []],
])('with %s', (_, routes, expected) => {
  expect([...deferringPools(stateOf(...routes)).keys()]).toEqual(expected);
});

test('a pool of services is never deferring', () => {
  const { routes } = stateOf(route(502, 0), route(5_002, 2));
  const pools = new Map([['guides', { engine: null }]]);
  expect(deferringPools({ routes, pools } as unknown as DesiredState).size).toBe(0);
});

test('the priority of the most urgent route of a pool is known', () => {
  expect(deferringPools(stateOf(route(502, 1), route(5_002, 2))).get('guides')).toBe(1);
});
