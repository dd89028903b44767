import type { IncomingMessage } from 'node:http';

interface HeldAnswer {
  readonly request: IncomingMessage;
  readonly answer: () => void;
}

/** Answers requests at once, or holds the answers back for a while. */
class HeldAnswers {
  /** Undefined while requests are answered at once. */
  private held: HeldAnswer[] | undefined;

  /** Answers a request, or does so on `release`, unless its caller has left by then. */
  add(request: IncomingMessage, answer: () => void): void {
    if (this.held === undefined) answer();
    else this.held.push({ request, answer });
  }

  /** Holds back the answers to all further requests. */
  hold(): void {
    this.held ??= [];
  }

  /** Answers the requests that are held back, and all further ones at once. */
  release(): void {
    const held = this.held ?? [];
    this.held = undefined;
    held
      .filter(({ request }) => !request.socket.destroyed)
      .forEach(({ answer }) => {
        answer();
      });
  }
}

export default HeldAnswers;
