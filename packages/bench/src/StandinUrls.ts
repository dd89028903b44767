/** Base URLs of the stand-ins that run in the stand-in thread. */
interface StandinUrls {
  readonly log: string;
  readonly instanceList: string;
  /** Engines to which the instance routes requests. */
  readonly engines: readonly string[];
  /** As many engines, with the model loaded, which callers use directly as the baseline. */
  readonly directEngines: readonly string[];
}

export default StandinUrls;
