import SignalMeaning from './SignalMeaning';

/**
 * The meaning of each signal that the program handles. The others keep the action that Node.js or the system gives them: it does
 * nothing (SIGCHLD, SIGCONT, SIGPIPE, SIGURG, SIGWINCH, SIGXFSZ), pauses (SIGSTOP, SIGTSTP, SIGTTIN, SIGTTOU), cannot be handled
 * (SIGKILL), or tells a fault of the process, which must not go on (SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV, SIGSYS, SIGTRAP).
 */
const signalMeanings: Readonly<Partial<Record<NodeJS.Signals, SignalMeaning>>> = {
  SIGTERM: SignalMeaning.Stop,
  SIGINT: SignalMeaning.Stop,
  SIGQUIT: SignalMeaning.Stop,
  SIGHUP: SignalMeaning.Reload,
  SIGALRM: SignalMeaning.Nothing,
  SIGIO: SignalMeaning.Nothing,
  SIGPROF: SignalMeaning.Nothing,
  SIGPWR: SignalMeaning.Nothing,
  SIGSTKFLT: SignalMeaning.Nothing,
  /** Without a handler, Node.js opens the port of its debugger. */
  SIGUSR1: SignalMeaning.Nothing,
  SIGUSR2: SignalMeaning.Nothing,
  SIGVTALRM: SignalMeaning.Nothing,
  SIGXCPU: SignalMeaning.Nothing,
};

export default signalMeanings;
