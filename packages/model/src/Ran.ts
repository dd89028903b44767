/** Whether a request reached a target. `No` is claimed only if no byte of it can have. */
enum Ran {
  No = 'no',
  Yes = 'yes',
  Unknown = 'unknown',
}

export default Ran;
