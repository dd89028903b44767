import type { Clock } from '@wisteriapath/model';
import type LoadForecast from './LoadForecast';

interface Received {
  readonly forecast: LoadForecast;
  readonly receivedMs: number;
}

/** Time for which a forecast is used: its placer may have died, or know better by now. */
const FORECAST_MAX_AGE_MS = 2_000;

/** What the placers expect of loads that they have put off, the newest of each placer and pool. */
class LoadForecasts {
  private readonly received = new Map<string, Received>();

  constructor(private readonly clock: Clock) {}

  record(forecast: LoadForecast): void {
    const nowMs = this.clock.nowMs();
    this.received.forEach(({ receivedMs }, key) => {
      if (receivedMs < nowMs - FORECAST_MAX_AGE_MS) this.received.delete(key);
    });
    const key = JSON.stringify([forecast.placer, forecast.pool]);
    this.received.set(key, { forecast, receivedMs: nowMs });
  }

  /** Returns the time until a model is expected to be loaded by the placer that expects it first; undefined if none says. */
  readyInMs(pool: string, model: string): number | undefined {
    const nowMs = this.clock.nowMs();
    const timesMs = [...this.received.values()]
      .filter(({ forecast }) => forecast.pool === pool)
      .filter(({ receivedMs }) => receivedMs >= nowMs - FORECAST_MAX_AGE_MS)
      .flatMap(({ forecast, receivedMs }) =>
        forecast.models
          .filter(([name]) => name === model)
          .map(([, readyInMs]) => Math.max(0, readyInMs - (nowMs - receivedMs))),
      );
    return timesMs.length === 0 ? undefined : Math.min(...timesMs);
  }
}

export default LoadForecasts;
