import { DutyAnswer, type DutyApi } from '@wisteriapath/fleet';

interface Received {
  readonly atMs: number;
  readonly holder: string;
  readonly fence: number;
  readonly window: number;
  readonly content: string;
}

const LEASE_MS = 3_000;

/** A stand-in of the platform's interface that notes all calls and checks the rules of the duty. */
class DutyApiStandIn {
  readonly received: Received[] = [];

  /** What calls are answered, and whether they are received. */
  mode: 'accept' | 'down' | 'refuse' | 'lose answers' = 'accept';

  constructor(private readonly nowMs: () => number) {}

  /** The first content that was received of each window. */
  get windows(): ReadonlyMap<number, string> {
    const pairs = this.received.map(({ window, content }) => [window, content] as const);
    return new Map([...pairs].reverse());
  }

  /** Returns the rules that the calls received so far break. */
  get broken(): readonly string[] {
    const { received } = this;
    const broken: string[] = [];
    received.forEach((call, index) => {
      const earlier = received.slice(0, index);
      if (
        earlier.some(({ window, content }) => window === call.window && content !== call.content)
      ) {
        broken.push(`window ${call.window} has two contents`);
      }
      if (earlier.some(({ fence, holder }) => fence === call.fence && holder !== call.holder)) {
        broken.push(`fence ${call.fence} has two holders`);
      }
      if (earlier.some(({ fence }) => fence > call.fence)) broken.push(`fence ${call.fence} fell`);
      const between = earlier.findLast(({ holder }) => holder !== call.holder);
      const isBack = earlier.some(
        ({ holder, atMs }) =>
          holder === call.holder &&
          between !== undefined &&
          atMs < between.atMs &&
          call.atMs - atMs < LEASE_MS,
      );
      if (isBack) broken.push(`${call.holder} came back within the lease time`);
    });
    return broken;
  }

  /** Returns the interface as one machine sees it; `reach` resolves when the machine runs. */
  port(reach: () => Promise<boolean>): DutyApi {
    return {
      reportUsage: async ({ holder, fence, isHeld }, { window, counts }) => {
        if (!(await reach()) || !isHeld()) return DutyAnswer.Unknown;
        if (this.mode === 'down') return DutyAnswer.Unknown;
        if (this.mode === 'refuse') return DutyAnswer.Refused;
        const content = JSON.stringify(counts);
        this.received.push({ atMs: this.nowMs(), holder, fence, window, content });
        if (this.mode === 'lose answers') return DutyAnswer.Unknown;
        return (await reach()) ? DutyAnswer.Accepted : DutyAnswer.Unknown;
      },
      orderCapacity: () => Promise.resolve(DutyAnswer.Unknown),
    };
  }
}

export default DutyApiStandIn;
