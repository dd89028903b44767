/** A stalled stream is not judged by an answer that is older than its pause, and streams that stall together share a question. */
import { systemClock } from '@wisteriapath/model';
import { EngineContact, type EngineRuns, type RegisteredTarget } from '@wisteriapath/fleet';
import type ConnectionProbe from '../src/ConnectionProbe';
import RunQuestions from '../src/RunQuestions';

type Parts = ConstructorParameters<typeof RunQuestions>[0];

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
  const control = { runs };
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

/** Longer than an engine may be quiet before connections to it are tried. */
const LATE_MS = 400;

const neverOpens = () => Promise.resolve<ConnectionProbe>(EngineContact.Unopened);

const questionsTo = (
  control: Parts['control'],
  open: Parts['open'] = neverOpens,
  lastByteAtMs: Parts['lastByteAtMs'] = () => -Infinity,
) => new RunQuestions({ clock: systemClock, control, open, lastByteAtMs });

describe('questions to an engine', () => {
  test('those who ask while one is open share the next', async () => {
    const engine = createEngine();
    const questions = questionsTo(engine.control);
    const first = questions.ask(ENGINE);
    const later = [questions.ask(ENGINE), questions.ask(ENGINE), questions.ask(ENGINE)];
    await engine.answer(EngineContact.Answered, 1);
    await engine.answer(EngineContact.Answered, 2);
    expect((await first).unlisted).toBe(1);
    expect((await Promise.all(later)).map(({ unlisted }) => unlisted)).toEqual([2, 2, 2]);
    expect(engine.asked()).toBe(2);
  });

  test.each([EngineContact.Silent, EngineContact.Unopened])(
    'an engine counts as out of reach (%s) only if no connection opens',
    async (contact) => {
      const engine = createEngine();
      const opens = () => Promise.resolve<ConnectionProbe>(EngineContact.Silent);
      const results = [opens, neverOpens].map(async (open) => {
        const runs = questionsTo(engine.control, open).ask(ENGINE);
        await engine.answer(contact, 0);
        return (await runs).contact;
      });
      expect(await Promise.all(results)).toEqual([EngineContact.Silent, EngineContact.Unreachable]);
    },
  );

  // Guards that a run is not taken for over because its engine accepts no new connections: it went on at two engines (review/7, TWICE).
  test.each([
    ['meanwhile', () => systemClock.nowMs(), EngineContact.Silent],
    ['before', () => 0, EngineContact.Unreachable],
  ])(
    'an engine that opens no connection, from which bytes came over another one %s',
    async (_, lastByteAtMs, contact) => {
      const engine = createEngine();
      const runs = questionsTo(engine.control, neverOpens, lastByteAtMs).ask(ENGINE);
      await engine.answer(EngineContact.Unopened, 0);
      expect(await runs).toMatchObject({ contact });
    },
  );

  test('a late answer counts while connections open', async () => {
    const engine = createEngine();
    const opens = () => Promise.resolve<ConnectionProbe>(EngineContact.Silent);
    const runs = questionsTo(engine.control, opens).ask(ENGINE);
    await systemClock.sleep(LATE_MS);
    await engine.answer(EngineContact.Answered, 3);
    expect(await runs).toMatchObject({ contact: EngineContact.Answered, unlisted: 3 });
  });

  test('no answer is awaited once no connection opens', async () => {
    const engine = createEngine();
    const runs = questionsTo(engine.control).ask(ENGINE);
    expect(await runs).toMatchObject({ contact: EngineContact.Unreachable });
  });

  test('an engine that does not answer is not asked by each of them', async () => {
    const engine = createEngine();
    const questions = questionsTo(engine.control);
    const all = [questions.ask(ENGINE), questions.ask(ENGINE)];
    await engine.answer(EngineContact.Unreachable, 0);
    const contacts = (await Promise.all(all)).map(({ contact }) => contact);
    expect(contacts).toEqual([EngineContact.Unreachable, EngineContact.Unreachable]);
    expect(engine.asked()).toBe(1);
  });

  test.each([
    ['starts anew under its id', { bornMs: 2 }],
    ['registers another address', { address: '127.0.0.1:2' }],
  ])('what is learned of an engine does not hold for it once it %s', async (_, change) => {
    const earlier = { ...ENGINE, bornMs: 1, address: '127.0.0.1:1' };
    const engine = createEngine();
    const questions = questionsTo(engine.control);
    const ofEarlier = questions.ask(earlier);
    const ofLater = questions.ask({ ...earlier, ...change });
    await engine.answer(EngineContact.Refused, 0);
    await engine.answer(EngineContact.Answered, 1);
    expect((await ofEarlier).contact).toBe(EngineContact.Refused);
    expect((await ofLater).contact).toBe(EngineContact.Answered);
  });
});
