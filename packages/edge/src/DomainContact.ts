import type { Clock } from '@wisteriapath/model';

interface Dependencies {
  readonly clock: Clock;
  /** Failure domain of this instance, which is never cut off from itself. */
  readonly ownDomain: string;
  /** Whether an instance of a failure domain sent a heartbeat within `withinMs`. */
  readonly isHeard: (failureDomain: string, withinMs: number) => boolean;
}

/** What requests to the targets of one failure domain met last. */
interface Contact {
  lastResponseMs: number;
  lastSilenceMs: number;
}

/** Time without a heartbeat from a failure domain; lease holders send one each 400 ms, and datagrams may be lost. */
const HEARTBEAT_TIMEOUT_MS = 1_200;
/** Time after the last silence of a target after which its failure domain is tried again. */
const RETRY_INTERVAL_MS = 4_000;

/**
 * Tells whether this instance is cut off from the targets of another failure domain. It answers the load of a partition:
 * each target of the other side would otherwise be tried by itself, and each trial costs a caller its answer. One sign is not
 * enough: instances may have been killed while targets next to them serve, and a single target may hang.
 *
 * @example
 * contact.recordSilence('zone-b');
 * contact.isCutOff('zone-b'); // true if no instance there is heard either
 */
class DomainContact {
  private readonly contacts = new Map<string, Contact>();

  constructor(private readonly deps: Dependencies) {}

  /** Notes that a target of a failure domain sent bytes. */
  recordResponse(failureDomain: string): void {
    this.contactOf(failureDomain).lastResponseMs = this.deps.clock.nowMs();
  }

  /** Notes that a target could not be connected to, or did not respond to a request. */
  recordSilence(failureDomain: string): void {
    this.contactOf(failureDomain).lastSilenceMs = this.deps.clock.nowMs();
  }

  /** Whether neither the targets nor the instances of a failure domain are heard. */
  isCutOff(failureDomain: string): boolean {
    const { clock, ownDomain, isHeard } = this.deps;
    const contact = this.contacts.get(failureDomain);
    if (contact === undefined || failureDomain === ownDomain) return false;
    const { lastResponseMs, lastSilenceMs } = contact;
    const isSilent =
      lastSilenceMs > lastResponseMs && clock.nowMs() - lastSilenceMs < RETRY_INTERVAL_MS;
    return isSilent && !isHeard(failureDomain, HEARTBEAT_TIMEOUT_MS);
  }

  private contactOf(failureDomain: string): Contact {
    const known = this.contacts.get(failureDomain);
    if (known !== undefined) return known;
    const contact = { lastResponseMs: -Infinity, lastSilenceMs: -Infinity };
    this.contacts.set(failureDomain, contact);
    return contact;
  }
}

export default DomainContact;
