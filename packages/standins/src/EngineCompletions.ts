import type { Context } from 'koa';
import { systemClock } from '@wisteriapath/model';
import type EngineMemory from './EngineMemory';
import type EngineOptions from './EngineOptions';
import readJson from './readJson';

interface CompletionBody {
  readonly model: string;
  readonly max_tokens?: number;
  readonly prompt?: string;
  readonly messages?: readonly { content: string }[];
}

const DEFAULT_MAX_TOKENS = 16;
const CHARS_PER_TOKEN = 4;
const WORDS = ['cup', 'rim', 'heat', 'tap', 'round', 'file', 'bowl', 'base'];
const CONFLICT = 409;

const promptOf = (body: CompletionBody): string =>
  body.prompt ?? (body.messages ?? []).map((message) => message.content).join('\n');

const wordAt = (prompt: string, index: number): string =>
  `${WORDS[(prompt.length + index) % WORDS.length]}${index}`;

/**
 * The completions of one engine stand-in, which restarts when it gets more requests than it can
 * handle.
 */
class EngineCompletions {
  /**
   * Figures reported over `/state`. `falls` counts the restarts on overload and `crashes` those on a
   * prompt with `crashOn`; `peakInflightFresh` covers the time before the engine is warm.
   */
  readonly counts = {
    finished: 0,
    finishedSinceStart: 0,
    cancelled: 0,
    inflight: 0,
    peakInflight: 0,
    peakInflightFresh: 0,
    falls: 0,
    crashes: 0,
    sawTenantKey: false,
  };

  readonly tokensByWorkspace: Record<string, number> = {};

  /** A prompt that contains this text crashes the engine; empty for none. */
  crashOn = '';

  private readonly openContexts = new Set<Context>();

  constructor(
    private readonly options: Required<EngineOptions>,
    private readonly memory: EngineMemory,
    private readonly onRestart: () => void,
  ) {}

  /** Simulates a restart: breaks every open response and loses every model. */
  restart(): void {
    this.memory.reset();
    this.counts.finishedSinceStart = 0;
    this.openContexts.forEach((context) => context.req.socket.destroy());
    this.openContexts.clear();
    this.onRestart();
  }

  /** Handles one completion request; answers 409 if the model is not loaded. */
  async complete(context: Context): Promise<void> {
    this.counts.sawTenantKey ||= context.get('authorization') !== '';
    const body = await readJson<CompletionBody>(context);
    if (!this.memory.isReady(body.model)) {
      context.status = CONFLICT;
      context.body = { error: 'model is not loaded' };
      return;
    }
    this.openContexts.add(context);
    context.respond = false;
    if (this.crashOn !== '' && promptOf(body).includes(this.crashOn)) {
      this.counts.crashes += 1;
      this.restart();
      return;
    }
    this.beginRequest();
    await this.generate(context, body).finally(() => {
      this.counts.inflight -= 1;
      this.openContexts.delete(context);
    });
  }

  private beginRequest(): void {
    const { counts, options } = this;
    const isFresh = counts.finishedSinceStart < options.warmAfter;
    counts.inflight += 1;
    counts.peakInflight = Math.max(counts.peakInflight, counts.inflight);
    if (isFresh) counts.peakInflightFresh = Math.max(counts.peakInflightFresh, counts.inflight);
    if (counts.inflight <= (isFresh ? options.freshCapacity : options.capacity)) return;
    counts.falls += 1;
    this.restart();
  }

  private async generate(context: Context, body: CompletionBody): Promise<void> {
    const prompt = promptOf(body);
    const firstToken = Number(context.get('x-resume-from') || 0);
    const maxTokens = body.max_tokens ?? DEFAULT_MAX_TOKENS;
    const workspace = context.get('x-wisteriapath-workspace');
    const promptTokens = Math.ceil(prompt.length / CHARS_PER_TOKEN);
    const { res } = context;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.flushHeaders();
    this.countTokens(workspace, firstToken === 0 ? promptTokens : 0);
    for (let index = firstToken; index < maxTokens && !res.closed; index += 1) {
      await systemClock.sleep(this.options.tokenMs);
      const text = `${wordAt(prompt, index)} `;
      const choice = { index: 0, delta: { content: text }, text };
      res.write(`data: ${JSON.stringify({ choices: [choice] })}\n\n`);
      this.countTokens(workspace, 1);
    }
    if (res.closed) {
      this.counts.cancelled += 1;
      return;
    }
    const usage = { prompt_tokens: promptTokens, completion_tokens: maxTokens };
    res.write(`data: ${JSON.stringify({ choices: [], usage })}\n\n`);
    res.write('data: [DONE]\n\n');
    if (this.options.endLagMs > 0) await systemClock.sleep(this.options.endLagMs);
    res.end();
    this.counts.finished += 1;
    this.counts.finishedSinceStart += 1;
  }

  private countTokens(workspace: string, tokens: number): void {
    this.tokensByWorkspace[workspace] = (this.tokensByWorkspace[workspace] ?? 0) + tokens;
  }
}

export default EngineCompletions;
