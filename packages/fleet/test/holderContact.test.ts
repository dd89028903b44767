/** By what contact a holder keeps its lease while the store does not answer it. */
import VirtualClock from '@wisteriapath/virtual-clock';
import HolderContact from '../src/HolderContact';

const LONG_MS = 200_000;

const peer = (failureDomain: string, lastHeartbeatMs: number, ackedNumber = 0) => ({
  member: { name: 'p', host: '127.0.0.1', incarnation: '1', failureDomain, cores: 1 },
  lastHeartbeatMs,
  lastHeartbeatWallMs: 1_000_000 + lastHeartbeatMs,
  isStopping: false,
  ackedNumber,
});

const momentAt = (sentMs: number) => ({ sentMs, sentWallMs: 1_000_000 + sentMs });

describe('contact by which a holder keeps its lease without the store', () => {
  const clock = new VirtualClock();
  const sent = [{ number: 7, ...momentAt(900) }];
  let contact: HolderContact;
  beforeEach(() => {
    contact = new HolderContact(clock, 'a');
  });

  test('the only instance of its failure domain has it with half of the others', () => {
    const others = [peer('b', 100), peer('b', 950), peer('c', 980)];
    expect(contact.newest(others, sent)).toEqual(momentAt(950));
    expect(contact.newest(others.slice(0, 2), sent)).toEqual(momentAt(950));
  });

  test('others that were never heard, or that stop, do not count', () => {
    const silent = peer('b', -Infinity);
    const stopping = { ...peer('b', 990), isStopping: true };
    expect(contact.newest([silent, stopping], sent)).toBeUndefined();
    expect(contact.newest([], sent)).toBeUndefined();
  });

  test('an instance of its failure domain must acknowledge its heartbeats', () => {
    const others = [peer('b', 980), peer('c', 990)];
    expect(contact.newest([...others, peer('a', 990, 7)], sent)).toMatchObject(momentAt(900));
    expect(contact.newest([...others, peer('a', 990, 0)], sent)).toBeUndefined();
  });

  test('one that was learned of lately, and never heard, may take over', async () => {
    const others = [peer('b', 980), peer('c', 990)];
    contact.notePeer(peer('a', -Infinity).member);
    expect(contact.newest([...others, peer('a', -Infinity)], sent)).toBeUndefined();
    await clock.advance(LONG_MS);
    expect(contact.newest(others, sent)).toEqual(momentAt(990));
  });
});
