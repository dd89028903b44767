import type SignalMeaning from './SignalMeaning';
import signalMeanings from './signalMeanings';

type Signal = NodeJS.Signals;
type Handler = (signal: Signal) => void;

/** The signals that the program handles. One that arrives before the handler of its meaning is known is handled then. */
class ProcessSignals {
  private readonly handlers = new Map<SignalMeaning, Handler>();

  private readonly pending = new Set<Signal>();

  constructor() {
    (Object.keys(signalMeanings) as Signal[]).forEach((signal) =>
      process.on(signal, () => this.receive(signal)),
    );
  }

  /** Sets the handler of all signals of a meaning, and calls it for those that have arrived already. */
  handle(meaning: SignalMeaning, handler: Handler): void {
    this.handlers.set(meaning, handler);
    const arrived = [...this.pending].filter((signal) => signalMeanings[signal] === meaning);
    arrived.forEach((signal) => {
      this.pending.delete(signal);
      handler(signal);
    });
  }

  private receive(signal: Signal): void {
    const handler = this.handlers.get(signalMeanings[signal]!);
    if (handler === undefined) this.pending.add(signal);
    else handler(signal);
  }
}

export default ProcessSignals;
