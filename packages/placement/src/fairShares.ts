import { sum } from '@wisteriapath/model';
import type WorkspaceDemand from './WorkspaceDemand';

type Demands = ReadonlyMap<string, readonly WorkspaceDemand[]>;

/** Demand of each workspace over all holders. */
const byWorkspace = (demands: Demands): readonly WorkspaceDemand[] => {
  const totals = new Map<string, WorkspaceDemand>();
  [...demands.values()].flat().forEach((demand) => {
    const slots = (totals.get(demand.workspace)?.slots ?? 0) + demand.slots;
    totals.set(demand.workspace, { ...demand, slots });
  });
  return [...totals.values()];
};

/** The part of its demand that each workspace gets: who asks for little gets all of it. */
const grantedParts = (slots: number, demands: Demands): ReadonlyMap<string, number> => {
  const parts = new Map<string, number>();
  let left = slots;
  let unmet = [...byWorkspace(demands)].sort((a, b) => a.slots / a.weight - b.slots / b.weight);
  while (unmet.length > 0) {
    const [least, ...others] = unmet;
    const due = (left * least.weight) / sum(unmet.map(({ weight }) => weight));
    const given = Math.min(least.slots, due);
    parts.set(least.workspace, given / least.slots);
    left -= given;
    unmet = others;
  }
  return parts;
};

/**
 * Shares slots between workspaces by weight, and each workspace's share between the holders that ask
 * for it; answers with the slots of each holder, in fractions.
 *
 * @example
 * fairShares(16, new Map([['entry-a1', [{ workspace: 'omuriro', weight: 1, slots: 20 }]]]));
 */
const fairShares = (slots: number, demands: Demands): ReadonlyMap<string, number> => {
  const parts = grantedParts(slots, demands);
  const shareOf = (own: readonly WorkspaceDemand[]) =>
    sum(own.map((demand) => demand.slots * (parts.get(demand.workspace) ?? 0)));
  return new Map([...demands].map(([holder, own]) => [holder, shareOf(own)]));
};

export default fairShares;
