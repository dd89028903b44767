/** What became of a question to an engine. */
enum EngineContact {
  /** The engine answered, be it with a refusal. */
  Answered = 'answered',
  /**
   * Neither of the others, and so it may have been reached: the connection was reset, bytes came that are no whole answer, or the
   * question failed for a reason of this process.
   */
  Dropped = 'dropped',
  /** The network refused to open a connection or did not open it in time, or the question was sent and no byte came in time. */
  Unreachable = 'unreachable',
}

export default EngineContact;
