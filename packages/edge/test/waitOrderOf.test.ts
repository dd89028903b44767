/** Guards who counts as able to wait: the priority of a workspace takes precedence over that of its route. */
import type { DesiredState, PathRoute, WorkspaceSpec } from '@wisteriapath/fleet';
import waitOrderOf from '../src/waitOrderOf';

const route = (latencyTargetMs: number, priority: number) =>
  ({ latencyTargetMs, priority, pools: [{ name: 'guides', weight: 1 }] }) as unknown as PathRoute;
const CHAT = route(502, 0);
const DRAFT = route(5_002, 2);
const workspace = (priority: number | null) => ({ priority }) as WorkspaceSpec;
const stateOf = (...routes: readonly PathRoute[]) =>
  ({ routes, pools: new Map([['guides', {}]]) }) as unknown as DesiredState;

test.each([
  ['a draft', DRAFT, null, { priority: 2, isDeferrable: true }],
  [
    'a draft of a workspace without a priority',
    DRAFT,
    workspace(null),
    { priority: 2, isDeferrable: true },
  ],
  ['a draft of an urgent workspace', DRAFT, workspace(0), { priority: 0, isDeferrable: false }],
  [
    'a chat of a workspace that is not urgent',
    CHAT,
    workspace(5),
    { priority: 5, isDeferrable: false },
  ],
])('%s', (_, ofRoute, of, expected) => {
  const request = { pool: 'guides', route: ofRoute, workspace: of };
  expect(waitOrderOf(stateOf(CHAT, DRAFT), request)).toEqual(expected);
});

test('a request of a pool that is not deferring has no order, so that it is served as before', () => {
  const request = { pool: 'guides', route: CHAT, workspace: null };
  expect(waitOrderOf(stateOf(CHAT), request)).toBeUndefined();
});
