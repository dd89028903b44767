import type { Dispatcher } from 'undici';

type Handler = Dispatcher.DispatchHandler;

/** The callbacks, old and new, that an HTTP client calls just before it writes a request to an established connection. */
const HANDOVER_CALLBACKS: ReadonlySet<string | symbol> = new Set(['onConnect', 'onRequestStart']);

/**
 * Returns a handler that is otherwise the given one, and reports when its request is handed to an established connection.
 *
 * @example
 * client.dispatch(options, watchHandover(handler, () => { mayHaveSent = true; }));
 */
const watchHandover = (handler: Handler, onHandover: () => void): Handler =>
  new Proxy(handler, {
    get: (target, name) => {
      const member: unknown = Reflect.get(target, name);
      if (typeof member !== 'function') return member;
      return (...args: unknown[]): unknown => {
        if (HANDOVER_CALLBACKS.has(name)) onHandover();
        return Reflect.apply(member, target, args);
      };
    },
  });

export default watchHandover;
