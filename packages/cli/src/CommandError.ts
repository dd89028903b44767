import type ExitCode from './ExitCode';

/** An error that ends the command with its message and an exit code. */
class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: ExitCode,
  ) {
    super(message);
  }
}

export default CommandError;
