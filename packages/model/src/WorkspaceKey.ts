/**
 * A row of the keys table: an API key of a workspace. Only the hash of the secret is stored.
 * Removing the row revokes the key.
 */
interface WorkspaceKey {
  /** SHA-256 of the secret, hexadecimal. */
  readonly sha256: string;
  readonly workspace: string;
}

export default WorkspaceKey;
