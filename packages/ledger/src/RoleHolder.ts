/** The process that holds a role. */
interface RoleHolder {
  /** Name of the instance. */
  readonly name: string;
  readonly failureDomain: string;
  /** Id of the process; a restarted instance has a new one. */
  readonly incarnation: string;
  /** `host:port` of its peer listener. */
  readonly address: string;
}

export default RoleHolder;
