import type { DesiredState, WorkspaceSpec } from '@wisteriapath/fleet';

/**
 * Returns the workspace that owns a key; `null` if there is none.
 *
 * @example
 * workspaceOfKey(state, 'k-1')?.name;
 */
const workspaceOfKey = (state: DesiredState | undefined, key: string): WorkspaceSpec | null =>
  state?.workspaces?.find(({ keys }) => keys.includes(key)) ?? null;

export default workspaceOfKey;
