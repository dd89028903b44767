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
const watchHandover = (handler: Handler, onHandover: () => void): Handler => {
  const members = new Map<string | symbol, unknown>();
  const wrap = (name: string | symbol): unknown => {
    const member: unknown = Reflect.get(handler, name);
    if (typeof member !== 'function') return member;
    if (!HANDOVER_CALLBACKS.has(name)) return member.bind(handler) as unknown;
    return (...args: unknown[]): unknown => {
      onHandover();
      return Reflect.apply(member, handler, args);
    };
  };
  return new Proxy(handler, {
    get: (_, name) => {
      if (!members.has(name)) members.set(name, wrap(name));
      return members.get(name);
    },
  });
};

export default watchHandover;
