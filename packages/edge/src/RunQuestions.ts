import type { Clock } from '@wisteriapath/model';
import {
  EngineContact,
  type EngineControl,
  type EngineRuns,
  type RegisteredTarget,
} from '@wisteriapath/fleet';
import confirmContact from './confirmContact';
import type probeConnection from './probeConnection';

interface Parts {
  readonly clock: Clock;
  readonly control: Pick<EngineControl, 'runs'>;
  readonly open: typeof probeConnection;
  /** When the last byte arrived from an engine over any connection, on the monotonic clock. */
  readonly lastByteAtMs: (engine: RegisteredTarget) => number;
}

interface Question {
  readonly number: number;
  readonly answer: Promise<EngineRuns>;
}

/** Time without an answer after which it is looked whether the engine can be reached at all. */
const QUIET_MS = 250;
/** Contacts that show that the engine works on nothing, or is out of reach; they hold also for those who ask meanwhile. */
const FINAL: ReadonlySet<EngineContact> = new Set([
  EngineContact.Unreachable,
  EngineContact.Refused,
]);

/** Names an engine in one life at one address; what is learned of it there says nothing of the next. */
const lifeOf = ({ id, bornMs, address }: RegisteredTarget): string => `${id}@${bornMs}@${address}`;

/** Asks engines which requests they work on, one question at a time for each engine. */
class RunQuestions {
  /** The questions that are open, by the life of their engine. */
  private readonly questions = new Map<string, Question>();

  private count = 0;

  constructor(private readonly parts: Parts) {}

  /**
   * Asks an engine. Callers share a question that was put after they had called; the answer to an earlier one may be older than
   * what they know, unless there was none. Never rejects.
   */
  async ask(engine: RegisteredTarget): Promise<EngineRuns> {
    const calledAt = this.count;
    const life = lifeOf(engine);
    for (;;) {
      const question = this.questions.get(life) ?? this.put(engine, life);
      const runs = await question.answer;
      if (question.number > calledAt || FINAL.has(runs.contact)) return runs;
    }
  }

  private put(engine: RegisteredTarget, life: string): Question {
    this.count += 1;
    const answer = this.question(engine).finally(() => this.questions.delete(life));
    const question = { number: this.count, answer };
    this.questions.set(life, question);
    return question;
  }

  /** Puts a question. If no answer comes soon, connections are tried beside it, which may show that none will come. */
  private async question(engine: RegisteredTarget): Promise<EngineRuns> {
    const answered = new AbortController();
    const answer = this.parts.control.runs(engine).finally(() => answered.abort());
    const first = await Promise.race([answer, this.findOutOfReach(engine, answered.signal)]);
    const runs = first ?? (await answer);
    return { ...runs, contact: await this.confirm(runs.contact, engine) };
  }

  /**
   * Finds out whether an engine that did not answer is out of reach. One that opens no new connections may still work over those that are
   * open: if bytes came over one of them meanwhile, it is reached, and has only not answered.
   */
  private async confirm(contact: EngineContact, engine: RegisteredTarget): Promise<EngineContact> {
    const { clock, open, lastByteAtMs } = this.parts;
    const beganMs = clock.nowMs();
    const confirmed = await confirmContact(contact, engine.address, open);
    const isReached = lastByteAtMs(engine) >= beganMs;
    return confirmed === EngineContact.Unreachable && isReached ? EngineContact.Silent : confirmed;
  }

  /** Resolves to nothing if the engine answers soon, or can be reached. */
  private async findOutOfReach(
    engine: RegisteredTarget,
    answered: AbortSignal,
  ): Promise<EngineRuns | undefined> {
    await this.parts.clock.sleep(QUIET_MS, answered);
    if (answered.aborted) return undefined;
    const contact = await this.confirm(EngineContact.Silent, engine);
    return FINAL.has(contact) ? { contact, unlisted: 0 } : undefined;
  }
}

export default RunQuestions;
