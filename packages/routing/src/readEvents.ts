import { createParser } from 'eventsource-parser';

/**
 * Yields the data of each server-sent event of a byte stream. Ends when the stream ends, and throws
 * if it breaks off.
 *
 * @example
 * for await (const data of readEvents(response.body)) handle(data);
 */
async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  const parsed: string[] = [];
  const parser = createParser({
    onEvent: (event) => {
      parsed.push(event.data);
    },
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    yield* parsed.splice(0);
  }
}

export default readEvents;
