import type { startEngine } from '@wisteriapath/standins';

interface EngineState {
  readonly loads: number;
  readonly unloads: number;
  readonly peakMb: number;
  readonly overcommits: number;
  readonly falls: number;
  readonly crashes: number;
  readonly cancelled: number;
  readonly finished: number;
  readonly inflight: number;
  readonly peakInflight: number;
  readonly peakInflightFresh: number;
  readonly connections: number;
  readonly orders: { taken: number; staleRefused: number; staleTaken: number };
}

type Engine = Awaited<ReturnType<typeof startEngine>>;

/** Returns the counters of an engine stand-in. */
const engineState = (engine: Engine) => engine.state() as EngineState;

export default engineState;
