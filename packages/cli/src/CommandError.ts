import type ExitCode from './ExitCode';

/** Ends a command with a message and an exit code. */
class CommandError extends Error {
  constructor(
    message: string,
    readonly exitCode: ExitCode,
  ) {
    super(message);
  }
}

export default CommandError;
