/** What a caller has got of a response that it did not get whole. */
enum ReceivedPart {
  Nothing = 'nothing',
  /** The head at least. */
  Half = 'half',
}

export default ReceivedPart;
