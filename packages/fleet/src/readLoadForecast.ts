import type LoadForecast from './LoadForecast';

const isText = (value: unknown): value is string => typeof value === 'string';

const isModelTime = (value: unknown): boolean =>
  Array.isArray(value) &&
  value.length === 2 &&
  isText(value[0]) &&
  Number.isFinite(value[1]) &&
  Number(value[1]) >= 0;

/**
 * Returns a payload as a forecast. Throws if it is none, as it would be used to refuse requests.
 *
 * @example
 * const { placer, models } = readLoadForecast(payload);
 */
const readLoadForecast = (payload: unknown): LoadForecast => {
  const forecast = payload as LoadForecast | null | undefined;
  const isForecast =
    isText(forecast?.placer) &&
    isText(forecast.pool) &&
    Array.isArray(forecast.models) &&
    forecast.models.every(isModelTime);
  if (!isForecast) throw new Error('not a forecast of loads');
  return forecast;
};

export default readLoadForecast;
