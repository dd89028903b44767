import type Exploration from './Exploration';
import claimsSpec from './claimsSpec';
import configSpec from './configSpec';
import explore from './explore';
import placerSpec from './placerSpec';

interface SpecCase {
  readonly name: string;
  readonly run: (maxStates: number) => Exploration;
}

/** The specifications: sound as implemented, and mutations with one rule removed each. */
const specs: { readonly sound: readonly SpecCase[]; readonly mutations: readonly SpecCase[] } = {
  sound: [
    { name: 'claims', run: (max) => explore(claimsSpec([]), max) },
    { name: 'configuration', run: (max) => explore(configSpec([]), max) },
    { name: 'placer, target checks fencing', run: (max) => explore(placerSpec(true, []), max) },
    { name: 'placer, target ignores fencing', run: (max) => explore(placerSpec(false, []), max) },
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
  ],
};

export default specs;
