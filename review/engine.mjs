/** A stand-in for a model engine, which registers itself in the store and takes orders. */
import { setTimeout } from 'node:timers';
import Target from './target.mjs';

/** A model engine that holds one model, takes orders for its adapters at once, and answers with a short stream. */
class Engine extends Target {
  orders = 0;

  adapters = new Set();

  constructor({
    model,
    onOrder = () => {},
    onEvent,
    events = 3,
    pauseMs = () => 10,
    dropsClosed = true,
    isFramed = true,
    ...options
  }) {
    super({
      ...options,
      run: (exchange) => this.stream(exchange),
      entry: () => ({ stage: 'both', models: this.models }),
    });
    Object.assign(this, { model, onOrder, onEvent, events, pauseMs, dropsClosed, isFramed });
  }

  get models() {
    return [{ name: this.model, version: 1, adapters: [...this.adapters] }];
  }

  answerControl(request, response, body) {
    const json = (status, fields) => {
      response
        .writeHead(status, { 'content-type': 'application/json' })
        .end(JSON.stringify(fields));
      return true;
    };
    if (request.url === '/v1/report') {
      const { orders: seq, models, running: active } = this;
      return json(200, { stage: 'both', models, busy: false, seq, queued: 0, active });
    }
    if (request.url !== '/v1/order') return false;
    const order = JSON.parse(body);
    const status = this.apply(order);
    this.onOrder({ ...order, status });
    return json(status, {});
  }

  apply({ op, adapter, precondition, holder, fence }) {
    if (holder === undefined || fence === undefined) return 400;
    const isHeld = adapter === undefined ? true : this.adapters.has(adapter);
    if (isHeld === (op === 'load')) return 200;
    if (adapter === undefined) return 409;
    if (precondition !== undefined && precondition !== this.orders) return 409;
    this.orders += 1;
    if (op === 'load') this.adapters.add(adapter);
    else this.adapters.delete(adapter);
    return op === 'load' ? 202 : 200;
  }

  /** Runs a request: `pauseMs(number)` is the pause before an event, `onEvent(id, number)` is told of each. */
  stream({ response, headers }) {
    const [name, adapter] = headers.model.split('/');
    if (name !== this.model || (adapter !== undefined && !this.adapters.has(adapter))) {
      response.writeHead(421, { 'Not-Executed': '1' }).end();
      return;
    }
    // Without chunks and a length, the end of the connection is the end of the stream.
    if (!this.isFramed) response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    let number = Number(headers['last-event-id'] ?? 0);
    const next = () => {
      if (response.destroyed && this.dropsClosed) return;
      number += 1;
      this.onEvent?.(headers['attempt-id'], number);
      response.write(`id: ${number}\ndata: piece ${number}\n\n`);
      if (number < this.events) setTimeout(next, this.pauseMs(number));
      else response.end();
    };
    next();
  }
}

export default Engine;
