/** A stalled stream is not judged by an answer that is older than its pause, and streams that stall together share a question. */
import { EngineContact, type EngineRuns, type RegisteredTarget } from '@wisteriapath/fleet';
import RunQuestions from '../src/RunQuestions';

const ENGINE = { id: 'one' } as RegisteredTarget;

/** An engine that answers its questions when told to. */
const createEngine = () => {
  const pending: ((runs: EngineRuns) => void)[] = [];
  let asked = 0;
  const runs = () =>
    new Promise<EngineRuns>((resolve) => {
      asked += 1;
      pending.push(resolve);
    });
  const control = { runs } as unknown as ConstructorParameters<typeof RunQuestions>[0];
  return {
    control,
    asked: () => asked,
    answer: async (contact: EngineContact, unlisted: number) => {
      pending.shift()!({ contact, unlisted });
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    },
  };
};

describe('questions to an engine', () => {
  test('those who ask while one is open share the next', async () => {
    const engine = createEngine();
    const questions = new RunQuestions(engine.control);
    const first = questions.ask(ENGINE);
    const later = [questions.ask(ENGINE), questions.ask(ENGINE), questions.ask(ENGINE)];
    await engine.answer(EngineContact.Answered, 1);
    await engine.answer(EngineContact.Answered, 2);
    expect((await first).unlisted).toBe(1);
    expect((await Promise.all(later)).map(({ unlisted }) => unlisted)).toEqual([2, 2, 2]);
    expect(engine.asked()).toBe(2);
  });

  test('an engine that does not answer is not asked by each of them', async () => {
    const engine = createEngine();
    const questions = new RunQuestions(engine.control);
    const all = [questions.ask(ENGINE), questions.ask(ENGINE)];
    await engine.answer(EngineContact.Unreachable, 0);
    const contacts = (await Promise.all(all)).map(({ contact }) => contact);
    expect(contacts).toEqual([EngineContact.Unreachable, EngineContact.Unreachable]);
    expect(engine.asked()).toBe(1);
  });
});
