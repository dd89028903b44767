import { EngineContact } from '@wisteriapath/fleet';
import type ConnectionProbe from './ConnectionProbe';

type Open = (address: string, timeoutMs: number) => Promise<ConnectionProbe>;

/** Connections that must fail to open in a row, as one packet may be lost. */
const FAILED_OPENINGS = 3;
const OPENING_TIMEOUT_MS = 300;

/**
 * Finds out whether an engine that did not answer can be reached at all. A question that brought no answer says nothing of that: the
 * engine may be busy, or the connection have fallen silent where new ones work.
 *
 * @example
 * const contact = await confirmContact(EngineContact.Silent, '10.1.0.7:8000', probeConnection);
 */
const confirmContact = async (
  contact: EngineContact,
  address: string,
  open: Open,
): Promise<EngineContact> => {
  if (contact !== EngineContact.Silent && contact !== EngineContact.Unopened) return contact;
  let failures = contact === EngineContact.Unopened ? 1 : 0;
  while (failures < FAILED_OPENINGS) {
    const probe = await open(address, OPENING_TIMEOUT_MS);
    if (probe !== EngineContact.Unopened) return probe;
    failures += 1;
  }
  return EngineContact.Unreachable;
};

export default confirmContact;
