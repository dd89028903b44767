/** The process that holds a role. */
interface RoleHolder {
  readonly name: string;
  readonly failureDomain: string;
  readonly incarnation: string;
  /** `host:port` of its peer listener. */
  readonly address: string;
}

export default RoleHolder;
