import { type Observation, type ScalingView, windowMs } from '../../src';

const INTERVAL_MS = 250;
const NOW_MS = 1_000_000;
const PLACES_PER_ENGINE = 16;

const limits = { min: 2, max: 12, bootMs: 8_000 };
const FIRST_LOAD_MS = 10_000;

/** What is observed at a time that is counted backwards from now. */
type Seen = Partial<Omit<Observation, 'atMs'>>;

const observation = (atMs: number, seen: Seen): Observation => {
  const ready = seen.ready ?? 6;
  return {
    atMs,
    ready,
    leaving: 0,
    places: ready * PLACES_PER_ENGINE,
    busy: 60,
    waiting: 0,
    ratePerS: 50,
    ...seen,
  };
};

const base: Omit<ScalingView, 'observations'> = {
  nowMs: NOW_MS,
  limits,
  viewAgeMs: 200,
  isStoreReachable: true,
  reportingFraction: 1,
  isOutOfService: false,
  ordered: undefined,
  memory: {
    inUseMb: 100,
    roomMb: 1_800,
    engineMb: 100,
    engines: 18,
    failureDomains: 3,
    soleCopies: 0,
  },
  firstLoadMs: FIRST_LOAD_MS,
};

/** Views of a service with six engines of 16 places in a failure domain, which needs all of them unless stated otherwise. */
const views = {
  nowMs: NOW_MS,
  bootMs: limits.bootMs,
  firstLoadMs: FIRST_LOAD_MS,
  placesPerEngine: PLACES_PER_ENGINE,
  windowMs: windowMs(base),
  limits,
  memory: base.memory,
  /** Returns a view with observations over a whole window. */
  over: (seenAt: (agoMs: number) => Seen, more: Partial<ScalingView> = {}): ScalingView => {
    const view = { ...base, ...more };
    const observations: Observation[] = [];
    for (let agoMs = windowMs(view) + INTERVAL_MS; agoMs >= 0; agoMs -= INTERVAL_MS) {
      observations.push(observation(view.nowMs - agoMs, seenAt(agoMs)));
    }
    return { ...view, observations: more.observations ?? observations };
  },
};

export default views;
