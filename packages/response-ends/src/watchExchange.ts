import type { Dispatcher } from 'undici';

type Handler = Dispatcher.DispatchHandler;

interface Watcher {
  /** Called when the request is handed to an established connection. */
  readonly onHandover: () => void;
  /** Called with the status of each response, interim ones too. What it throws ends the exchange and closes its connection. */
  readonly onStatus: (status: number) => void;
}

type Notify = (watcher: Watcher, args: readonly unknown[]) => void;

/** The callbacks, old and new, of an HTTP client: just before it writes a request to a connection, and for the head of a response. */
const NOTIFICATIONS: ReadonlyMap<string | symbol, Notify> = new Map<string, Notify>([
  ['onConnect', ({ onHandover }) => onHandover()],
  ['onRequestStart', ({ onHandover }) => onHandover()],
  ['onHeaders', ({ onStatus }, [status]) => onStatus(status as number)],
  ['onResponseStart', ({ onStatus }, [, status]) => onStatus(status as number)],
]);

/**
 * Returns a handler that is otherwise the given one, and tells of the exchange before the handler is told.
 *
 * @example
 * client.dispatch(options, watchExchange(handler, { onHandover, onStatus }));
 */
const watchExchange = (handler: Handler, watcher: Watcher): Handler => {
  const members = new Map<string | symbol, unknown>();
  const wrap = (name: string | symbol): unknown => {
    const member: unknown = Reflect.get(handler, name);
    if (typeof member !== 'function') return member;
    const notify = NOTIFICATIONS.get(name);
    if (notify === undefined) return member.bind(handler) as unknown;
    return (...args: unknown[]): unknown => {
      notify(watcher, args);
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

export default watchExchange;
