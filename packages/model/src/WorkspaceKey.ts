/** A tenant key. Only its hash is stored; a withdrawn key is a removed row. */
interface WorkspaceKey {
  /** SHA-256 of the secret, hexadecimal. */
  readonly sha256: string;
  readonly workspace: string;
}

export default WorkspaceKey;
