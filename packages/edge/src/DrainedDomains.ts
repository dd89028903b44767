import type { Clock } from '@wisteriapath/model';

/** The failure domains that the operator takes out of service. */
class DrainedDomains {
  private readonly domains = new Set<string>();

  /** When domains that a copy of the store lacks are back in service, on the monotonic clock. */
  private readonly missingUntilMs = new Map<string, number>();

  constructor(
    private readonly clock: Clock,
    /** Called when a domain that was missing is back in service. */
    private readonly onReturned: () => void,
  ) {}

  get all(): ReadonlySet<string> {
    return new Set(this.domains);
  }

  /** Takes a domain out of service. */
  add(domain: string): void {
    this.missingUntilMs.delete(domain);
    this.domains.add(domain);
  }

  /** Puts a domain back into service: at once if `afterMs` is 0, else unless `add` is called before. */
  async remove(domain: string, afterMs: number): Promise<void> {
    if (afterMs === 0) {
      this.missingUntilMs.delete(domain);
      this.domains.delete(domain);
      return;
    }
    if (!this.domains.has(domain)) return;
    const untilMs = this.clock.nowMs() + afterMs;
    this.missingUntilMs.set(domain, untilMs);
    await this.clock.sleep(afterMs);
    if (this.missingUntilMs.get(domain) !== untilMs) return;
    void this.remove(domain, 0);
    this.onReturned();
  }
}

export default DrainedDomains;
