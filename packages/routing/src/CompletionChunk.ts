interface Choice {
  readonly text?: string;
  readonly delta?: { readonly content?: string };
}

/** The data of one event of an engine's completion stream. */
interface CompletionChunk {
  readonly choices?: readonly Choice[];
  /** Token counts, in the last event. */
  readonly usage?: { readonly prompt_tokens: number; readonly completion_tokens: number };
}

export default CompletionChunk;
