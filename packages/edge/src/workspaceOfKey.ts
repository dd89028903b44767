import type { DesiredState, WorkspaceSpec } from '@wisteriapath/fleet';

/**
 * The workspace that holds a key; `null` if none does.
 *
 * @example
 * workspaceOfKey(state, 'k-1')?.name;
 */
const workspaceOfKey = (state: DesiredState | undefined, key: string): WorkspaceSpec | null =>
  state?.workspaces?.find(({ keys }) => keys.includes(key)) ?? null;

export default workspaceOfKey;
