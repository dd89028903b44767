/** Tests of the configuration fold, its checkpoints, and the parsing of settings and tables. */
import fc from 'fast-check';
import {
  emptyFoldedStream,
  encodeEnvelope,
  type Envelope,
  foldRecord,
  type LogRecord,
} from '@wisteriapath/log-client';
import { TableName } from '@wisteriapath/model';
import {
  configCodec,
  configFold,
  EditKind,
  formatValidationError,
  parseSettings,
  parseTable,
} from '../src';

const RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = process.env.FUZZ_SEED === undefined ? 20_261_204 : Number(process.env.FUZZ_SEED);
const CHECK = { numRuns: RUNS, seed: SEED };

const envelope: fc.Arbitrary<Envelope> = fc.record({
  id: fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'),
  body: fc.record({
    kind: fc.constantFrom(EditKind.Set, EditKind.Remove),
    table: fc.constantFrom(TableName.Zones, TableName.Workspaces),
    name: fc.constantFrom('x', 'y'),
    expectedVersion: fc.integer({ min: 0, max: 6 }),
    value: fc.record({ state: fc.constantFrom('in', 'out') }),
  }),
});

const cancel: fc.Arbitrary<Envelope> = fc.record({
  id: fc.constantFrom('g', 'h'),
  cancels: fc.constantFrom('a', 'b', 'c'),
});

const history = fc.array(fc.oneof({ weight: 5, arbitrary: envelope }, cancel), { maxLength: 20 });

const toRecords = (envelopes: readonly Envelope[]): LogRecord[] =>
  envelopes.map((entry, offset) => ({
    offset,
    atMs: offset,
    payload: encodeEnvelope(entry),
  }));

const fold = (records: readonly LogRecord[], from = emptyFoldedStream(configFold)) =>
  records.reduce((folded, record) => foldRecord(configFold, folded, record), from);

const serialize = (folded: ReturnType<typeof fold>) => configCodec.encode(folded).text;

describe('the configuration fold', () => {
  test('a checkpoint at any offset plus the later records gives the state of the full log', () => {
    fc.assert(
      fc.property(history, fc.nat(20), (envelopes, at) => {
        const records = toRecords(envelopes);
        const cut = Math.min(at, records.length);
        const snapshot = configCodec.encode(fold(records.slice(0, cut)));
        const restored = configCodec.decode(snapshot).unsafeCoerce();
        return serialize(fold(records.slice(cut), restored)) === serialize(fold(records));
      }),
      CHECK,
    );
  });

  test('folding records again at the same offsets has no effect', () => {
    fc.assert(
      fc.property(history, (envelopes) => {
        const records = toRecords(envelopes);
        const once = fold(records);
        return serialize(fold(records, once)) === serialize(once);
      }),
      CHECK,
    );
  });

  test('a repeated record id later in the log has no effect', () => {
    fc.assert(
      fc.property(history, fc.nat(19), (envelopes, which) => {
        if (envelopes.length === 0) return true;
        const repeated = [...envelopes, envelopes[which % envelopes.length]];
        const tables = (folded: ReturnType<typeof fold>) =>
          (JSON.parse(serialize(folded)) as { tables: unknown }).tables;
        const before = tables(fold(toRecords(envelopes)));
        return JSON.stringify(tables(fold(toRecords(repeated)))) === JSON.stringify(before);
      }),
      CHECK,
    );
  });

  test('payloads that are not envelopes are skipped', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (payload) => {
        const folded = fold([{ offset: 0, atMs: 0, payload }]);
        return folded.nextOffset === 1;
      }),
      CHECK,
    );
  });

  test('a damaged checkpoint is rejected', () => {
    const snapshot = configCodec.encode(fold([]));
    expect(configCodec.decode({ ...snapshot, text: `${snapshot.text} ` }).isNothing()).toBe(true);
  });
});

describe('parsing of settings and tables', () => {
  test('malformed settings and tables never cause an exception', () => {
    const line = fc.oneof(
      fc.string(),
      fc.constantFrom('[instance]', '[listen]', 'name = x', '[a.b.c]', '[__proto__]', 'x[]=1'),
    );
    fc.assert(
      fc.property(fc.array(line, { maxLength: 12 }), (lines) => {
        const input = lines.join('\n');
        parseSettings('fuzz.ini', input);
        Object.values(TableName).forEach((table) => parseTable('fuzz.ini', table, input));
        return true;
      }),
      CHECK,
    );
  });

  test('every validation error names the file, section, key and reason', () => {
    const settings = `
[instance]
name = Entry A
[listen]
callers = 127.0.0.1
operators = 127.0.0.1:1
peers = 127.0.0.1:2
colour = red
[platform]
log_url = log
instance_list_url = http://127.0.0.1:9
log_retention_s = 3600
[budgets]
failure_domains = khomas-a
loan_term_ms = soon
`;
    const errors = parseSettings('entry.ini', settings).swap().orDefault([]);
    expect(errors.map(formatValidationError)).toMatchInlineSnapshot(`
     [
       "entry.ini: [instance] name: must be lower-case letters, digits and hyphens",
       "entry.ini: [instance] failure_domain: is required",
       "entry.ini: [listen] callers: must look like 127.0.0.1:8080",
       "entry.ini: [listen] colour: is not known",
       "entry.ini: [platform] log_url: must look like http://host:port",
       "entry.ini: [operators]: is required",
       "entry.ini: [budgets] loan_term_ms: must be a number",
     ]
    `);
    const table = `
stray = 1
[cup-guide]
kind = model
pool = Guide Models
deadline_ms = -5
[cup-guide]
kind = model
[quotes]
kind = service
pool = desk
colour = red
`;
    const tableErrors = parseTable('routes.ini', TableName.Routes, table).swap().orDefault([]);
    expect(tableErrors.map(formatValidationError)).toMatchInlineSnapshot(`
     [
       "routes.ini: [cup-guide]: is repeated",
       "routes.ini: stray: appears before the first section",
       "routes.ini: [cup-guide] pool: must be lower-case letters, digits and hyphens",
       "routes.ini: [cup-guide] deadline_ms: Too small: expected number to be >0",
       "routes.ini: [cup-guide] model: is required for routes of kind model",
       "routes.ini: [cup-guide] model_mb: is required for routes of kind model",
       "routes.ini: [quotes] colour: is not known",
     ]
    `);
  });
});
