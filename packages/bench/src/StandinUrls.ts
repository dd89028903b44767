/** Base URLs of the stand-ins in their thread. */
interface StandinUrls {
  readonly log: string;
  readonly instanceList: string;
  /** Engines that instances route to. */
  readonly engines: readonly string[];
  /** As many engines that are asked directly and have the model loaded. */
  readonly directEngines: readonly string[];
}

export default StandinUrls;
