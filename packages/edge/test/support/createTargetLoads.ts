import type { Clock } from '@wisteriapath/model';
import type { TargetTable } from '@wisteriapath/fleet';
import DomainContact from '../../src/DomainContact';
import TargetLoads from '../../src/TargetLoads';

/** Creates the loads of an instance of failure domain `a`, which hears instances of all domains unless told otherwise. */
const createTargetLoads = (
  clock: Clock,
  table: TargetTable,
  isHeard: (failureDomain: string) => boolean = () => true,
): TargetLoads =>
  new TargetLoads(clock, table, new DomainContact({ clock, ownDomain: 'a', isHeard }));

export default createTargetLoads;
