/** What bounds a response, by its method, status and headers. */
import { framingOf, ResponseFraming } from '../src';

test.each([
  ['GET', 200, { 'content-length': '0' }, ResponseFraming.Length],
  ['GET', 200, { 'transfer-encoding': 'chunked' }, ResponseFraming.Chunks],
  ['POST', 500, { 'transfer-encoding': 'gzip, Chunked ' }, ResponseFraming.Chunks],
  // A last coding other than chunked is ended by the connection, whatever length is stated.
  ['GET', 200, { 'transfer-encoding': 'gzip', 'content-length': '4' }, ResponseFraming.Close],
  ['GET', 200, {}, ResponseFraming.Close],
  ['GET', 503, {}, ResponseFraming.Close],
  ['HEAD', 200, { 'content-length': '4' }, ResponseFraming.None],
  ['GET', 204, {}, ResponseFraming.None],
  ['GET', 304, { 'content-length': '4' }, ResponseFraming.None],
])('%s, %i, %j: %s', (method, status, headers, expected) => {
  expect(framingOf(method, status, headers)).toBe(expected);
});
