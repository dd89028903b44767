import { RequestClass, type Route, RouteKind } from '@wisteriapath/model';
import seedrandom from 'seedrandom';
import type ColdTrace from './ColdTrace';
import type Deployment from './Deployment';

const MIN_MODEL_MB = 8_000;
const MAX_MODEL_MB = 40_000;
const MIN_ADAPTER_MB = 100;
const MAX_ADAPTER_MB = 600;
const MIN_SESSION_GAP_MS = 600_000;
const MAX_SESSION_GAP_MS = 7_200_000;
/** Share of the routes whose sessions start at nearly regular intervals. */
const REGULAR_ROUTE_SHARE = 1 / 3;
const REGULAR_GAP_JITTER = 0.1;
/** Share of the sessions that are one burst of simultaneous requests, spread over the instances. */
const BURST_SESSION_SHARE = 0.1;
const BURST_REQUESTS = 20;
const MEAN_REQUESTS_PER_SESSION = 4;
const MEAN_REQUEST_GAP_MS = 5_000;
const MEAN_SERVICE_MS = 2_000;
const DEADLINE_MS = 60_000;

const createModelRoute = (id: string, modelMb: number): Route => ({
  kind: RouteKind.Model,
  model: id,
  modelMb,
  adapter: null,
  adapterMb: 0,
  pool: 'engines',
  workspaces: ['bench'],
  open: false,
  idempotent: true,
  requestClass: RequestClass.Interactive,
  deadlineMs: DEADLINE_MS,
  staleKeysLimitS: 60,
});

const createRoutes = (deployment: Deployment, random: () => number): Map<string, Route> => {
  const between = (least: number, most: number) => Math.round(least + random() * (most - least));
  const modelRoutes = Array.from({ length: deployment.models }, (_unused, index) =>
    createModelRoute(`model-${index}`, between(MIN_MODEL_MB, MAX_MODEL_MB)),
  );
  const adapterRoutes = Array.from({ length: deployment.adapters }, (_unused, index): Route => {
    const base = modelRoutes[Math.floor(random() * modelRoutes.length)];
    const adapterMb = between(MIN_ADAPTER_MB, MAX_ADAPTER_MB);
    return { ...base, adapter: `adapter-${index}`, adapterMb };
  });
  return new Map(
    [...modelRoutes, ...adapterRoutes].map((route, index) => [`route-${index}`, route]),
  );
};

/**
 * Returns a seeded trace of sessions on each route of a deployment. The mean gap between the
 * sessions of a route is log-uniform between ten minutes and two hours.
 *
 * @example
 * const trace = createColdTrace(deployments[0], 'seed', 6 * 3_600_000);
 */
const createColdTrace = (deployment: Deployment, seed: string, durationMs: number): ColdTrace => {
  const random = seedrandom(`${deployment.name} ${seed}`);
  const exponential = (mean: number) => -Math.log(1 - random()) * mean;
  const routes = createRoutes(deployment, random);
  const requests: ColdTrace['requests'][number][] = [];
  const addRequest = (route: string, atMs: number, instance: number) => {
    requests.push({ atMs, route, instance, serviceMs: exponential(MEAN_SERVICE_MS) });
  };
  const addSession = (route: string, startMs: number) => {
    if (random() < BURST_SESSION_SHARE) {
      for (let index = 0; index < BURST_REQUESTS; index += 1) {
        addRequest(route, startMs, index % deployment.instances);
      }
      return;
    }
    let atMs = startMs;
    do {
      addRequest(route, atMs, Math.floor(random() * deployment.instances));
      atMs += exponential(MEAN_REQUEST_GAP_MS);
    } while (random() > 1 / MEAN_REQUESTS_PER_SESSION);
  };
  routes.forEach((_route, name) => {
    const meanMs = MIN_SESSION_GAP_MS * (MAX_SESSION_GAP_MS / MIN_SESSION_GAP_MS) ** random();
    const isRegular = random() < REGULAR_ROUTE_SHARE;
    const jitter = () => 1 + REGULAR_GAP_JITTER * (2 * random() - 1);
    const gapMs = () => (isRegular ? meanMs * jitter() : exponential(meanMs));
    for (let atMs = random() * meanMs; atMs < durationMs; atMs += gapMs()) addSession(name, atMs);
  });
  requests.sort((a, b) => a.atMs - b.atMs);
  return { routes, requests };
};

export default createColdTrace;
