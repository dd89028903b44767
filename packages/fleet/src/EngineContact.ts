/** What became of a question to an engine. Only the last two show that the engine does not work on a request any more, or is out of reach. */
enum EngineContact {
  /** The engine answered, be it with a refusal. */
  Answered = 'answered',
  /**
   * None of the others, and so it may have been reached: the connection was reset, bytes came that are no whole answer, or the
   * question failed for a reason of this process.
   */
  Dropped = 'dropped',
  /** No byte came in time: the engine is busy, or its connection has fallen silent or is still being opened. */
  Silent = 'silent',
  /** A connection did not open, of which one packet may have been lost. */
  Unopened = 'unopened',
  /** No connection opened, several times in a row. */
  Unreachable = 'unreachable',
  /** The address refuses connections: the engine has ended. */
  Refused = 'refused',
}

export default EngineContact;
