import type SignalMeaning from './SignalMeaning';
import SignalWait from './SignalWait';
import signalMeanings from './signalMeanings';

type Signal = NodeJS.Signals;
/** `earliestMs` is the earliest time at which the signal may have come, on the monotonic clock. */
type Handler = (signal: Signal, earliestMs: number) => void;

/** The signals that the program handles. One that arrives before the handler of its meaning is known is handled then. */
class ProcessSignals {
  private readonly handlers = new Map<SignalMeaning, Handler>();

  /** The signals whose handlers are not known, each with the earliest time at which it may have come. */
  private readonly pending = new Map<Signal, number>();

  private readonly wait = new SignalWait();

  constructor() {
    (Object.keys(signalMeanings) as Signal[]).forEach((signal) =>
      process.on(signal, () => this.receive(signal)),
    );
  }

  /** Sets the handler of all signals of a meaning, and calls it for those that have arrived already. */
  handle(meaning: SignalMeaning, handler: Handler): void {
    this.handlers.set(meaning, handler);
    const arrived = [...this.pending].filter(([signal]) => signalMeanings[signal] === meaning);
    arrived.forEach(([signal, earliestMs]) => {
      this.pending.delete(signal);
      handler(signal, earliestMs);
    });
  }

  private receive(signal: Signal): void {
    const { earliestMs } = this.wait;
    const handler = this.handlers.get(signalMeanings[signal]!);
    if (handler !== undefined) handler(signal, earliestMs);
    else if (!this.pending.has(signal)) this.pending.set(signal, earliestMs);
  }
}

export default ProcessSignals;
