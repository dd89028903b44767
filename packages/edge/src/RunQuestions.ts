import {
  EngineContact,
  type EngineControl,
  type EngineRuns,
  type RegisteredTarget,
} from '@wisteriapath/fleet';

interface Question {
  readonly number: number;
  readonly answer: Promise<EngineRuns>;
}

/** Asks engines which requests they work on, one question at a time for each engine. */
class RunQuestions {
  private readonly open = new Map<string, Question>();

  private count = 0;

  constructor(private readonly control: EngineControl) {}

  /**
   * Asks an engine. Callers share a question that was put after they had called; the answer to an earlier one may be older than
   * what they know, unless there was none. Never rejects.
   */
  async ask(engine: RegisteredTarget): Promise<EngineRuns> {
    const calledAt = this.count;
    for (;;) {
      const question = this.open.get(engine.id) ?? this.put(engine);
      const runs = await question.answer;
      if (question.number > calledAt || runs.contact === EngineContact.Unreachable) return runs;
    }
  }

  private put(engine: RegisteredTarget): Question {
    this.count += 1;
    const answer = this.control.runs(engine).finally(() => this.open.delete(engine.id));
    const question = { number: this.count, answer };
    this.open.set(engine.id, question);
    return question;
  }
}

export default RunQuestions;
