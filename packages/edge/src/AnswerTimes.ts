import type AnswerPace from './AnswerPace';
import type AnswerTime from './AnswerTime';
import type AnsweredRequest from './AnsweredRequest';
import type TokenCounts from './TokenCounts';
import weightedQuantile from './weightedQuantile';

type Sample = AnswerTime & TokenCounts;

/** A request that has been sent and is not answered. */
interface Begun extends AnsweredRequest {
  readonly sentAtMs: number;
}

/** Fraction of recent answers that were no slower than what is expected of the next one of known length. */
const EXPECTED_FRACTION = 0.75;
const MIDDLE_FRACTION = 0.5;
/** How many times the weight of the middle one of the answers a single one may have, as its request may state any length. */
const MAX_RELATIVE_WEIGHT = 8;
/** Answers that are kept for each model, pool and route: the newest. */
const MAX_SAMPLES = 32;
/** Answers below which nothing is expected from them. */
const MIN_SAMPLES = 3;
/** Answers below which the slowest one is no bound: with so many, the next one is slower in one case of twenty. */
const MIN_BOUND_SAMPLES = 19;
/** Models, pools and routes that are kept: those that were answered last. */
const MAX_KEYS = 1_000;

const modelKey = (pool: string, model: string): string => JSON.stringify(['model', pool, model]);
const poolKey = (pool: string): string => JSON.stringify(['pool', pool]);
const routeKey = (route: string): string => JSON.stringify(['route', route]);

const startOf = ({ firstEventMs, totalMs }: Sample): number => firstEventMs ?? totalMs;

/** Returns the pace of each answer whose request stated a length. */
const pacesOf = (
  samples: readonly Sample[],
  length: keyof TokenCounts,
): readonly (AnswerPace & { readonly tokens: number })[] =>
  samples.flatMap((sample) => {
    const tokens = sample[length];
    if (tokens === null || tokens === 0) return [];
    const startMs = startOf(sample);
    return [{ startMs, msPerToken: (sample.totalMs - startMs) / tokens, tokens }];
  });

/** Returns the slowest start and pace of answers, and of requests under way, which take as long as they have at least. */
const slowestOf = (
  samples: readonly Sample[],
  underWay: readonly Sample[],
): AnswerPace | undefined => {
  const answered = pacesOf(samples, 'outputTokens');
  if (answered.length < MIN_BOUND_SAMPLES) return undefined;
  const all = [...answered, ...pacesOf(underWay, 'outputTokens')];
  return {
    startMs: Math.max(...all.map(({ startMs }) => startMs)),
    msPerToken: Math.max(...all.map(({ msPerToken }) => msPerToken)),
  };
};

const paceOf = (samples: readonly Sample[], length: keyof TokenCounts): AnswerPace | undefined => {
  const stated = pacesOf(samples, length);
  if (stated.length < MIN_SAMPLES) return undefined;
  const starts = stated.map(({ startMs }) => ({ value: startMs, weight: 1 }));
  const lengths = stated.map(({ tokens }) => ({ value: tokens, weight: 1 }));
  const maxWeight = MAX_RELATIVE_WEIGHT * weightedQuantile(lengths, MIDDLE_FRACTION)!;
  // A short answer that was held up once must not count as much as a long one.
  const paces = stated.map(({ msPerToken, tokens }) => ({
    value: msPerToken,
    weight: Math.min(tokens, maxWeight),
  }));
  return {
    startMs: weightedQuantile(starts, EXPECTED_FRACTION)!,
    msPerToken: weightedQuantile(paces, EXPECTED_FRACTION)!,
  };
};

/** How long recent answers took at this instance, by model, pool and route. */
class AnswerTimes {
  /** In the order of their newest answers. */
  private readonly samples = new Map<string, Sample[]>();

  private readonly underWay = new Set<Begun>();

  /** Records an answer that has ended. */
  record(
    { pool, route, model, outputTokens, estimatedTokens }: AnsweredRequest,
    time: AnswerTime,
  ): void {
    const sample = { ...time, outputTokens, estimatedTokens };
    this.add(modelKey(pool, model), sample);
    this.add(poolKey(pool), sample);
    this.add(routeKey(route), sample);
  }

  /** Returns the pace of answers of a model by a length that their requests stated; undefined if too few are known. */
  modelPace(pool: string, model: string, length: keyof TokenCounts): AnswerPace | undefined {
    return paceOf(this.samplesOf(modelKey(pool, model)), length);
  }

  /** Returns the pace of answers of all models of a pool; undefined if too few are known. */
  poolPace(pool: string, length: keyof TokenCounts): AnswerPace | undefined {
    return paceOf(this.samplesOf(poolKey(pool)), length);
  }

  /** Notes that a request has been sent; returns a function that ends it. */
  begin(request: AnsweredRequest, sentAtMs: number): () => void {
    const begun = { ...request, sentAtMs };
    this.underWay.add(begun);
    return () => this.underWay.delete(begun);
  }

  /** Returns the slowest start and pace of answers of a model for the tokens allowed; undefined if too few are known. */
  slowestOfModel(pool: string, model: string, nowMs: number): AnswerPace | undefined {
    const isOfModel = (begun: Begun) => begun.pool === pool && begun.model === model;
    return slowestOf(this.samplesOf(modelKey(pool, model)), this.begunSamples(isOfModel, nowMs));
  }

  /** Returns the slowest start and pace of answers of all models of a pool; undefined if too few are known. */
  slowestOfPool(pool: string, nowMs: number): AnswerPace | undefined {
    const isOfPool = (begun: Begun) => begun.pool === pool;
    return slowestOf(this.samplesOf(poolKey(pool)), this.begunSamples(isOfPool, nowMs));
  }

  /** Returns the time of the longest of a route's recent answers; undefined if too few are known. */
  longestMs(route: string): number | undefined {
    const samples = this.samplesOf(routeKey(route));
    if (samples.length < MIN_SAMPLES) return undefined;
    return Math.max(...samples.map(({ totalMs }) => totalMs));
  }

  /** Returns requests under way as if they ended now; how long their start took is left out. */
  private begunSamples(isMeant: (begun: Begun) => boolean, nowMs: number): readonly Sample[] {
    return [...this.underWay]
      .filter(isMeant)
      .map((begun) => ({ ...begun, firstEventMs: 0, totalMs: nowMs - begun.sentAtMs }));
  }

  private samplesOf(key: string): readonly Sample[] {
    return this.samples.get(key) ?? [];
  }

  private add(key: string, sample: Sample): void {
    const samples = this.samples.get(key) ?? [];
    samples.push(sample);
    if (samples.length > MAX_SAMPLES) samples.shift();
    this.samples.delete(key);
    this.samples.set(key, samples);
    if (this.samples.size <= MAX_KEYS) return;
    const [oldestKey] = this.samples.keys();
    this.samples.delete(oldestKey);
  }
}

export default AnswerTimes;
