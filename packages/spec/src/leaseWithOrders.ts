import type LeaseModel from './LeaseModel';
import leaseTicks from './leaseTicks';

/**
 * Returns a state in which each machine that may give orders has given one: each order can only break more.
 *
 * @example
 * const { broken } = leaseWithOrders(state);
 */
const leaseWithOrders = (state: LeaseModel): LeaseModel =>
  state.machines.reduce((before, { tenure }, machine) => {
    if (tenure === null || tenure.age >= leaseTicks.lease || tenure.orderWait > 0) return before;
    const { order } = before;
    const { fence } = tenure;
    const isOther = order !== null && order.machine !== machine;
    const faults: readonly (readonly [boolean, string])[] = [
      [order !== null && fence < order.fence, 'a fencing token never falls'],
      [isOther && fence === order.fence, 'a fencing token has one holder'],
      [
        isOther && order.age < leaseTicks.handover,
        'no two holders give orders within the handover delay',
      ],
    ];
    const broken = before.broken ?? faults.find(([isBroken]) => isBroken)?.[1] ?? null;
    return { ...before, order: { machine, fence, age: 0 }, broken };
  }, state);

export default leaseWithOrders;
