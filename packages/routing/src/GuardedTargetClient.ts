import type { Dispatcher } from 'undici';
import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import ExchangeFailure from './ExchangeFailure';
import type PoisonRegistry from './PoisonRegistry';
import PoisonVerdict from './PoisonVerdict';
import TargetClient from './TargetClient';

interface Exchange {
  readonly answer: Dispatcher.ResponseData;
  /** Notes that the answer came whole. */
  finished(): void;
  /** Notes that the target refused the request without running it, which clears nobody. */
  refused(): void;
  /** Notes that the answer broke off; answers with the failure. */
  broken(error: unknown): ExchangeFailure;
}

type Call = Parameters<TargetClient['send']>[1];

/** Sends requests to targets and keeps note of those that were in flight when one died. */
class GuardedTargetClient {
  constructor(
    private readonly client: TargetClient,
    private readonly poison: PoisonRegistry,
  ) {}

  /** Refuses a quarantined request; a suspect waits until it can be tried alone. */
  async admit(fingerprint: string): Promise<Either<ServeError, () => void>> {
    const verdict = this.poison.verdict(fingerprint);
    if (verdict === PoisonVerdict.Clear) return Right(() => {});
    await this.newsSpread();
    if (verdict === PoisonVerdict.Suspect) {
      const done = await this.poison.beginAlone();
      if (this.poison.verdict(fingerprint) !== PoisonVerdict.Quarantined) return Right(done);
      done();
    }
    const message = 'this request crashed several targets and is not tried again';
    return Left(ServeError.maybeRun(ErrorKind.Quarantined, message));
  }

  /**
   * Resolves when the peers have been told of crashes, within a bounded time. A caller must not be
   * answered before: its repeat through another instance would overtake the news.
   */
  newsSpread(): Promise<void> {
    return this.poison.shared;
  }

  /** Sends a request. The caller must call one of the exchange's functions when it is over. */
  async send(
    target: string,
    url: string,
    fingerprint: string,
    call: Call,
  ): Promise<Either<ExchangeFailure, Exchange>> {
    const { leave, crashed } = this.poison.enter(target, fingerprint);
    const fail = (failure: ExchangeFailure): ExchangeFailure => {
      if (failure === ExchangeFailure.Broken) crashed();
      leave();
      return failure;
    };
    const sent = await this.client.send(url, call);
    return sent.bimap(fail, (answer) => ({
      answer,
      finished: () => {
        leave();
        this.poison.noteFinished(fingerprint);
      },
      refused: leave,
      broken: (error) => fail(TargetClient.failureOf(error)),
    }));
  }
}

export default GuardedTargetClient;
