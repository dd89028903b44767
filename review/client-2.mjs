/** A client of the platform: each call is one attempt with an id of its own, on a new connection. */
import { request } from 'node:http';

let attempts = 0;

/** Sends one request; `sent` tells its id at once, `answer` resolves to status, headers, body and whether it was whole. */
const call = (
  machine,
  { method = 'POST', path, headers = {}, body = '', host = 'cups.example' },
) => {
  attempts += 1;
  const attempt = `a${String(attempts).padStart(15, '0')}`;
  const answer = new Promise((resolve) => {
    const nothing = { status: 0, headers: {}, body: '', isWhole: false };
    const sent = request({
      host: machine.host,
      port: machine.port,
      method,
      path,
      agent: false,
      headers: {
        Host: host,
        'Attempt-Id': attempt,
        'Deadline-Ms': '4000',
        'Content-Length': String(body.length),
        ...headers,
      },
    });
    sent.on('error', () => resolve(nothing));
    sent.on('response', (response) => {
      const chunks = [];
      response.on('error', () => {});
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('close', () => {
        const { statusCode: status, complete: isWhole } = response;
        resolve({ status, headers: response.headers, body: chunks.join(''), isWhole });
      });
    });
    sent.end(body);
  });
  return { attempt, answer };
};

export default call;
