/** An engine counts as out of reach only if several connections in a row do not open; one that opens shows that it may still run. */
import { type AddressInfo, createServer } from 'node:net';
import { EngineContact } from '@wisteriapath/fleet';
import confirmContact from '../src/confirmContact';
import type ConnectionProbe from '../src/ConnectionProbe';
import probeConnection from '../src/probeConnection';

const { Answered, Dropped, Refused, Silent, Unopened, Unreachable } = EngineContact;

const CASES: readonly [EngineContact, ConnectionProbe[], EngineContact][] = [
  [Answered, [], Answered],
  [Dropped, [], Dropped],
  [Refused, [], Refused],
  [Silent, [Silent], Silent],
  [Silent, [Unopened, Unopened, Silent], Silent],
  [Silent, [Unopened, Refused], Refused],
  [Silent, [Unopened, Unopened, Unopened], Unreachable],
  [Unopened, [Silent], Silent],
  [Unopened, [Unopened, Unopened], Unreachable],
];

describe('what became of a question', () => {
  test.each(CASES)('%s, then connections %j: %s', async (contact, probes, expected) => {
    const left = [...probes];
    const open = () => Promise.resolve(left.shift()!);
    expect(await confirmContact(contact, 'one', open)).toBe(expected);
    expect(left).toEqual([]);
  });

  test('a connection that opens, and one that is refused', async () => {
    const server = createServer();
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    expect(await probeConnection(address, 300)).toBe(Silent);
    await new Promise((resolve) => {
      server.close(resolve);
    });
    expect(await probeConnection(address, 300)).toBe(Refused);
  });
});
