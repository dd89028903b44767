import type Exploration from './Exploration';
import claimsSpec from './claimsSpec';
import configSpec from './configSpec';
import explore from './explore';
import leaseSpec from './leaseSpec';
import placerSpec from './placerSpec';
import usageSpec from './usageSpec';

interface SpecCase {
  readonly name: string;
  readonly run: (maxStates: number) => Exploration;
}

const ONE_RETURN = { machines: 2, returns: 1, restarts: 1, late: 1, records: 2 };
/** Two returns with late appends have more states than a test should take. */
const TWO_RETURNS = { machines: 2, returns: 2, restarts: 1, late: 0, records: 2 };
const MORE_RECORDS = { machines: 2, returns: 1, restarts: 0, late: 0, records: 3 };

const USAGE_LATE = { machines: 2, takes: 3, contents: 3, returns: 0, late: 1 };
const USAGE_RETURN = { machines: 2, takes: 3, contents: 2, returns: 1, late: 0 };

/** The specifications: sound as implemented, and mutations with one rule removed each. */
const specs: { readonly sound: readonly SpecCase[]; readonly mutations: readonly SpecCase[] } = {
  sound: [
    { name: 'claims', run: (max) => explore(claimsSpec([]), max) },
    { name: 'configuration', run: (max) => explore(configSpec([]), max) },
    { name: 'placer, target checks fencing', run: (max) => explore(placerSpec(true, []), max) },
    { name: 'placer, target ignores fencing', run: (max) => explore(placerSpec(false, []), max) },
    { name: 'lease, one return', run: (max) => explore(leaseSpec(ONE_RETURN, []), max) },
    { name: 'lease, more records', run: (max) => explore(leaseSpec(MORE_RECORDS, []), max) },
    { name: 'lease, two returns', run: (max) => explore(leaseSpec(TWO_RETURNS, []), max) },
    { name: 'usage duty, late appends', run: (max) => explore(usageSpec(USAGE_LATE, []), max) },
    { name: 'usage duty, one return', run: (max) => explore(usageSpec(USAGE_RETURN, []), max) },
  ],
  mutations: [
    {
      name: 'claims without: first claim wins',
      run: (max) => explore(claimsSpec(['first_claim_wins']), max),
    },
    {
      name: 'claims without: read own claim before dispatch',
      run: (max) => explore(claimsSpec(['read_own_claim']), max),
    },
    {
      name: 'claims without: undo before giving up',
      run: (max) => explore(claimsSpec(['undo_before_giving_up']), max),
    },
    {
      name: 'claims without: a claim is never taken over',
      run: (max) => explore(claimsSpec(['no_takeover']), max),
    },
    {
      name: 'configuration without: unique ids',
      run: (max) => explore(configSpec(['unique_ids']), max),
    },
    {
      name: 'configuration without: cancel of an append of unknown outcome',
      run: (max) => explore(configSpec(['cancel_of_unknown']), max),
    },
    {
      name: 'placer without: fencing numbers checked',
      run: (max) => explore(placerSpec(true, ['fencing']), max),
    },
    {
      name: 'placer without: freezing of targets that ignore fencing',
      run: (max) => explore(placerSpec(false, ['freezing']), max),
    },
    {
      name: 'lease without: the era in a token',
      run: (max) => explore(leaseSpec(ONE_RETURN, ['era_in_token']), max),
    },
    {
      name: 'lease without: only records of the present era are certain',
      run: (max) => explore(leaseSpec(ONE_RETURN, ['certain_records']), max),
    },
    {
      name: 'lease without: an append of another era takes no lease',
      run: (max) => explore(leaseSpec(MORE_RECORDS, ['era_of_append']), max),
    },
    {
      name: 'lease without: a holder whose authority ended gives up at a return',
      run: (max) => explore(leaseSpec(ONE_RETURN, ['authority_at_return']), max),
    },
    {
      name: 'lease without: the handover delay',
      run: (max) => explore(leaseSpec(ONE_RETURN, ['handover_wait']), max),
    },
    {
      name: 'usage duty without: the decision is stored before the report',
      run: (max) => explore(usageSpec(USAGE_LATE, ['decision_before_report']), max),
    },
    {
      name: 'usage duty without: a successor reads the decisions',
      run: (max) => explore(usageSpec(USAGE_LATE, ['read_decisions']), max),
    },
    {
      name: 'usage duty without: counts that were tried stay',
      run: (max) => explore(usageSpec(USAGE_LATE, ['fixed_proposal']), max),
    },
    {
      name: 'usage duty without: windows before a return are not decided again',
      run: (max) => explore(usageSpec(USAGE_RETURN, ['era_mark']), max),
    },
    {
      name: 'usage duty without: only decisions of the present era are sent again',
      run: (max) => explore(usageSpec(USAGE_RETURN, ['certain_decisions']), max),
    },
    {
      name: 'usage duty without: a report is reset with its authority',
      run: (max) => explore(usageSpec(USAGE_LATE, ['reset_with_authority']), max),
    },
  ],
};

export default specs;
