import { LRUCache } from 'lru-cache';
import type Estimate from './Estimate';

/** What is measured at one target. */
interface Measurement {
  readonly model: string;
  /** Natural logarithm of the time, without what is known to lengthen it. */
  readonly logTime: number;
  /** Variance of what neither the model nor the target explains. */
  readonly noise: number;
}

const MAX_MODELS = 1_024;
/** Variance before the first measurement; so large that this determines the estimate. */
const UNKNOWN_VARIANCE = 25;
/** Variance of the models of a pool: times differ by some 40%, as larger models are slower. */
const MODEL_VARIANCE = 0.16;
/** Lower bounds of the variances, so that estimates follow changes. */
const MIN_POOL_VARIANCE = 0.002;
const MIN_MODEL_VARIANCE = 0.01;
const MIN_TARGET_VARIANCE = 0.02;
/** Largest error, as a logarithm, that one measurement can show: one stall is not to outweigh everything before. */
const MAX_ERROR = 1.5;

const correct = (estimate: Estimate, scaledError: number, total: number, least: number): void => {
  const { mean, variance } = estimate;
  const corrected = Math.max(Math.min(variance, least), variance - variance ** 2 / total);
  Object.assign(estimate, { mean: mean + variance * scaledError, variance: corrected });
};

/**
 * The usual times of one kind of work by model, in logarithms, over all targets of a pool. Targets differ in speed
 * and models in size, and most pairs of them are rarely measured; the error of each prediction is therefore split
 * between pool, model and target in proportion to their variances.
 */
class UsualTimes {
  private readonly pool: Estimate = { mean: 0, variance: UNKNOWN_VARIANCE };

  private readonly models = new LRUCache<string, Estimate>({ max: MAX_MODELS });

  /** Returns the logarithm of a model's usual time; undefined before the first measurement. */
  logOf(model: string): number | undefined {
    if (!this.isKnown) return undefined;
    return this.pool.mean + (this.models.get(model)?.mean ?? 0);
  }

  /** The logarithm of the usual time of a model of which nothing is known; undefined before the first measurement. */
  get logOfPool(): number | undefined {
    return this.isKnown ? this.pool.mean : undefined;
  }

  /** Corrects the estimates by one measurement, that of the target's slowness included. */
  learn({ model, logTime, noise }: Measurement, target: Estimate): void {
    const ofModel = this.models.get(model) ?? { mean: 0, variance: MODEL_VARIANCE };
    this.models.set(model, ofModel);
    const expected = this.pool.mean + ofModel.mean + target.mean;
    const total = this.pool.variance + ofModel.variance + target.variance + noise;
    const error = logTime - expected;
    const bounded = this.isKnown ? Math.max(-MAX_ERROR, Math.min(MAX_ERROR, error)) : error;
    correct(this.pool, bounded / total, total, MIN_POOL_VARIANCE);
    correct(ofModel, bounded / total, total, MIN_MODEL_VARIANCE);
    correct(target, bounded / total, total, MIN_TARGET_VARIANCE);
  }

  private get isKnown(): boolean {
    return this.pool.variance < UNKNOWN_VARIANCE;
  }
}

export default UsualTimes;
