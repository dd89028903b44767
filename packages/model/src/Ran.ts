/** Whether a request reached a target. `No` means that no byte of it can have reached one. */
enum Ran {
  No = 'no',
  Yes = 'yes',
  Unknown = 'unknown',
}

export default Ran;
