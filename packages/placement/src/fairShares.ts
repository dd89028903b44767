import { sum } from '@wisteriapath/model';
import type WorkspaceDemand from './WorkspaceDemand';

type Demands = ReadonlyMap<string, readonly WorkspaceDemand[]>;

/** Sums the demand of each workspace over all holders. */
const sumByWorkspace = (demands: Demands): readonly WorkspaceDemand[] => {
  const totals = new Map<string, WorkspaceDemand>();
  [...demands.values()].flat().forEach((demand) => {
    const slots = (totals.get(demand.workspace)?.slots ?? 0) + demand.slots;
    totals.set(demand.workspace, { ...demand, slots });
  });
  return [...totals.values()];
};

/**
 * Returns the fraction of its demand that each workspace is granted, by weighted max-min fairness.
 */
const grantedFractions = (slots: number, demands: Demands): ReadonlyMap<string, number> => {
  const fractions = new Map<string, number>();
  let left = slots;
  let unmet = [...sumByWorkspace(demands)].sort((a, b) => a.slots / a.weight - b.slots / b.weight);
  while (unmet.length > 0) {
    const [least, ...others] = unmet;
    const fairShare = (left * least.weight) / sum(unmet.map(({ weight }) => weight));
    const granted = Math.min(least.slots, fairShare);
    fractions.set(least.workspace, granted / least.slots);
    left -= granted;
    unmet = others;
  }
  return fractions;
};

/**
 * Divides slots among workspaces by weighted max-min fairness: a workspace that requests less than
 * its share gets all that it requests. Divides the share of each workspace among holders in
 * proportion to their demand for it. Returns the slots of each holder, with fractions.
 *
 * @example
 * fairShares(16, new Map([['entry-a1', [{ workspace: 'omuriro', weight: 1, slots: 20 }]]]));
 */
const fairShares = (slots: number, demands: Demands): ReadonlyMap<string, number> => {
  const fractions = grantedFractions(slots, demands);
  const shareOf = (own: readonly WorkspaceDemand[]) =>
    sum(own.map((demand) => demand.slots * (fractions.get(demand.workspace) ?? 0)));
  return new Map([...demands].map(([holder, own]) => [holder, shareOf(own)]));
};

export default fairShares;
