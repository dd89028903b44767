/** The error of a response that arrived and cannot be read; it says nothing about the connection or the target's life. */
class UnreadableResponse extends Error {}

export default UnreadableResponse;
