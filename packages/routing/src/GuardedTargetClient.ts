import { type Either, Left, Right } from 'purify-ts';
import { ErrorKind, ServeError } from '@wisteriapath/model';
import ExchangeFailure from './ExchangeFailure';
import type PoisonRegistry from './PoisonRegistry';
import PoisonStatus from './PoisonStatus';
import TargetClient from './TargetClient';
import type TargetResponse from './TargetResponse';
import UnreadableResponse from './UnreadableResponse';

/** An exchange with a target whose response has begun. */
interface Exchange {
  readonly response: TargetResponse;
  /** Records that the target has begun to answer. */
  markBegun(): void;
  /** Records that the response was complete. */
  markFinished(): void;
  /** Records that the target answered with a refusal or a failure, which clears no suspect. */
  markUnserved(): void;
  /** Records that the response broke off or cannot be read, and returns the failure. */
  markBroken(error: unknown): ExchangeFailure;
}

type Call = Parameters<TargetClient['send']>[1];

/** A client for targets that isolates and quarantines requests suspected of crashing them. */
class GuardedTargetClient {
  constructor(
    private readonly client: TargetClient,
    private readonly poison: PoisonRegistry,
  ) {}

  /**
   * Admits a request: refuses a quarantined one, and lets a suspect wait until it can be tried
   * alone. Call the returned function when the request is over.
   */
  async admit(fingerprint: string): Promise<Either<ServeError, () => void>> {
    const status = this.poison.statusOf(fingerprint);
    if (status === PoisonStatus.Clear) return Right(() => {});
    await this.waitForCrashReports();
    if (status === PoisonStatus.Suspect) {
      const done = await this.poison.beginSoloProbe();
      if (this.poison.statusOf(fingerprint) !== PoisonStatus.Quarantined) return Right(done);
      done();
    }
    const message = 'this request crashed several targets and is quarantined';
    return Left(ServeError.maybeExecuted(ErrorKind.Quarantined, message));
  }

  /**
   * Resolves when the recent crashes have been reported to the peers, within a bounded time. A
   * caller must not get its response earlier: its retry through another instance could arrive
   * before the report.
   */
  waitForCrashReports(): Promise<void> {
    return this.poison.reportsShared;
  }

  /** Sends a request. Call one of the `mark` functions of the exchange when it is over. */
  async send(
    target: string,
    url: string,
    fingerprint: string,
    call: Call,
  ): Promise<Either<ExchangeFailure, Exchange>> {
    const { begun, end, targetCrashed } = this.poison.trackInflight(target, fingerprint);
    const fail = (failure: ExchangeFailure): ExchangeFailure => {
      if (failure === ExchangeFailure.Broken) targetCrashed();
      end();
      return failure;
    };
    const sent = await this.client.send(url, call);
    return sent.bimap(fail, (response) => ({
      response,
      markBegun: begun,
      markFinished: () => {
        end();
        this.poison.noteFinished(fingerprint);
      },
      markUnserved: end,
      markBroken: (error) => {
        if (!(error instanceof UnreadableResponse)) return fail(TargetClient.failureOf(error));
        end();
        return ExchangeFailure.Broken;
      },
    }));
  }
}

export default GuardedTargetClient;
