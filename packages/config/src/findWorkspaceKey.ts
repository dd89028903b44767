import { TableName, type WorkspaceKey } from '@wisteriapath/model';
import type ConfigState from './ConfigState';
import getRow from './getRow';

/**
 * Finds the API key whose secret has the given hash. Returns undefined for unknown and revoked
 * keys.
 *
 * @example
 * findWorkspaceKey(state, sha256Hex(secret))?.workspace;
 */
const findWorkspaceKey = (state: ConfigState, secretSha256: string): WorkspaceKey | undefined => {
  const name = state.keysByHash.get(secretSha256);
  return name === undefined ? undefined : getRow(state, TableName.Keys, name)?.value;
};

export default findWorkspaceKey;
