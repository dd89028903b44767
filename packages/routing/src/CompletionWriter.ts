import type CompletionChunk from './CompletionChunk';
import type ResponseSink from './ResponseSink';
import parseChunk from './parseChunk';

const STREAM_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };
const OK = 200;

/** Writes an engine's events to the caller, as a stream or joined into one response. */
class CompletionWriter {
  /** Number of tokens sent to the caller or buffered for it; a resumed stream starts there. */
  tokenCount = 0;

  private text = '';

  private usage: CompletionChunk['usage'];

  constructor(
    private readonly sink: ResponseSink,
    private readonly routeName: string,
    private readonly requestId: string,
    private readonly stream: boolean,
  ) {}

  /** Tokens of prompt and completion as counted by the engine; undefined until it reports them. */
  get countedTokens(): number | undefined {
    return this.usage && this.usage.prompt_tokens + this.usage.completion_tokens;
  }

  /** Handles the data of one event of the engine: a JSON chunk. Throws `UnreadableResponse` if it is none. */
  async writeEvent(data: string): Promise<void> {
    const chunk = parseChunk(data);
    const [choice] = chunk.choices ?? [];
    const text = choice?.delta?.content ?? choice?.text;
    if (text !== undefined) {
      this.tokenCount += 1;
      this.text += text;
    }
    this.usage = chunk.usage ?? this.usage;
    if (!this.stream) return;
    this.begin();
    const named = { ...chunk, id: this.requestId, model: this.routeName };
    await this.sink.write(`data: ${JSON.stringify(named)}\n\n`);
  }

  /** Completes the response to the caller. */
  async finish(): Promise<void> {
    if (this.stream) {
      this.begin();
      await this.sink.write('data: [DONE]\n\n');
    } else {
      this.sink.begin(OK, { 'content-type': 'application/json' });
      await this.sink.write(JSON.stringify(this.fullResponse()));
    }
    this.sink.end();
  }

  private begin(): void {
    if (!this.sink.headersSent) this.sink.begin(OK, STREAM_HEADERS);
  }

  private fullResponse(): object {
    const message = { role: 'assistant', content: this.text };
    return {
      id: this.requestId,
      model: this.routeName,
      choices: [{ index: 0, message, text: this.text, finish_reason: 'stop' }],
      usage: this.usage,
    };
  }
}

export default CompletionWriter;
