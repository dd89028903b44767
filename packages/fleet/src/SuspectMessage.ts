import type { SuspectUpdate } from '@wisteriapath/suspects';

/** What instances tell each other about suspects, as it is sent. The names of the fields stay, as builds meet each other. */
interface SuspectMessage {
  readonly crashes: SuspectUpdate['crashes'];
  readonly acquittals: SuspectUpdate['clearances'];
  readonly trials: SuspectUpdate['probes'];
}

export default SuspectMessage;
