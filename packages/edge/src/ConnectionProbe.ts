import type { EngineContact } from '@wisteriapath/fleet';

/** What an attempt to open a connection shows. */
type ConnectionProbe = EngineContact.Silent | EngineContact.Unopened | EngineContact.Refused;

export default ConnectionProbe;
