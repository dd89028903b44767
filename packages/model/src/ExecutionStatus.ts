/** Whether a request reached a target. `NotExecuted` means that no byte of it can have reached one. */
enum ExecutionStatus {
  NotExecuted = 'no',
  Executed = 'yes',
  Unknown = 'unknown',
}

export default ExecutionStatus;
