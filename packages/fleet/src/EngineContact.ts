/** What became of a question to an engine. */
enum EngineContact {
  /** The engine answered, be it with a refusal. */
  Answered = 'answered',
  /** The connection was opened and ended without an answer, as at an engine that takes no more connections. */
  Dropped = 'dropped',
  /** No connection could be opened, or no answer came in time. */
  Unreachable = 'unreachable',
}

export default EngineContact;
