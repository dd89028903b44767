/**
 * In a partition, requests are not lost one by one at each target of the other side; and targets are not avoided only because the
 * instances beside them are gone.
 */
import VirtualClock from '@wisteriapath/virtual-clock';
import { TargetTable } from '@wisteriapath/fleet';
import type ResponseFields from '../src/ResponseFields';
import createTargetLoads from './support/createTargetLoads';
import targetEntry from './support/targetEntry';

const ANSWER = { load: null } as ResponseFields;
/** Time after which a request without a byte shows its target to be silent. */
const SILENT_MS = 800;

const start = () => {
  const clock = new VirtualClock();
  const table = new TargetTable(clock);
  table.applyEntry(targetEntry({ id: 'own', failureDomain: 'a' }));
  table.applyEntry(targetEntry({ id: 'far-0', failureDomain: 'b' }));
  table.applyEntry(targetEntry({ id: 'far-1', failureDomain: 'b' }));
  const heard = new Set(['a', 'b']);
  const loads = createTargetLoads(clock, table, (domain) => heard.has(domain));
  const send = (id: string) => loads.reserve(id, 'm', null);
  const reachable = () => ['own', 'far-0', 'far-1'].filter((id) => loads.isReachable(id));
  return { clock, heard, loads, send, reachable };
};

test('a target stays unreachable after the callers of its unanswered requests have left', async () => {
  const { clock, send, reachable } = start();
  const reservation = send('far-0');
  await clock.advance(SILENT_MS);
  reservation.complete(false);
  expect(reachable()).toEqual(['own', 'far-1']);
});

test('one silent target of a domain whose instances are not heard shows that the domain is cut off', async () => {
  const { clock, heard, loads, send, reachable } = start();
  heard.delete('b');
  send('far-0');
  await clock.advance(SILENT_MS);
  // Placers take the word of each instance: one that is cut off alone must not make them load all models of the domain elsewhere.
  expect(loads.findUnreachable()).toEqual(['far-0']);
  expect(reachable()).toEqual(['own']);
});

test('a connection that does not open shows it at once', () => {
  const { heard, send, reachable } = start();
  heard.delete('b');
  send('far-0').recordConnectFailure();
  expect(reachable()).toEqual(['own']);
});

test('a domain whose instances are gone is used while its targets answer', () => {
  const { heard, send, reachable } = start();
  heard.delete('b');
  send('far-0').recordConnectFailure();
  send('far-1').recordResponse(ANSWER);
  expect(reachable()).toEqual(['own', 'far-1']);
});

test('a silent target alone does not make its domain unreachable', async () => {
  const { clock, loads, send } = start();
  send('far-0');
  await clock.advance(SILENT_MS);
  expect(loads.findUnreachable()).toEqual(['far-0']);
});

test('a domain is used again when one of its instances is heard', async () => {
  const { clock, heard, send, reachable } = start();
  heard.delete('b');
  const reservation = send('far-0');
  reservation.recordConnectFailure();
  reservation.complete(true);
  heard.add('b');
  await clock.advance(SILENT_MS);
  expect(reachable()).toEqual(['own', 'far-0', 'far-1']);
});

test('a domain that is not heard is tried again after a while', async () => {
  const { clock, heard, send, reachable } = start();
  heard.delete('b');
  const reservation = send('far-0');
  reservation.recordConnectFailure();
  reservation.complete(true);
  await clock.advance(5_000);
  expect(reachable()).toEqual(['own', 'far-0', 'far-1']);
});

test('the own domain is never cut off', () => {
  const { heard, send, reachable } = start();
  heard.clear();
  send('own').recordConnectFailure();
  expect(reachable()).toEqual(['far-0', 'far-1']);
});
