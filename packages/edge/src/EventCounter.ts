const COMMENT = ':';
const EVENT_END = /\r\n\r\n|\n\n|\r\r/;
/** Length of the rest of a chunk beyond which only its beginning and end are kept. */
const MAX_REST_LENGTH = 8;
/** Characters at the end of a chunk that may belong to the end of an event. */
const END_LENGTH = 3;

/** Counts the events that end in each chunk of a stream. Blocks that begin with a comment are no events. */
class EventCounter {
  private rest = '';

  /** Takes the next chunk; returns the number of events that it completes. */
  push(chunk: Buffer): number {
    const blocks = (this.rest + chunk.toString('latin1')).split(EVENT_END);
    const rest = blocks.pop() ?? '';
    const kind = rest.startsWith(COMMENT) ? COMMENT : ' ';
    this.rest = rest.length > MAX_REST_LENGTH ? kind + rest.slice(-END_LENGTH) : rest;
    return blocks.filter((block) => block !== '' && !block.startsWith(COMMENT)).length;
  }
}

export default EventCounter;
