/** What a signal asks of the program. */
enum SignalMeaning {
  /** Ends in order, with code 0. */
  Stop = 'stop',
  /** Reads the settings again. */
  Reload = 'reload',
  /** Nothing; its default action would end the process. */
  Nothing = 'nothing',
}

export default SignalMeaning;
