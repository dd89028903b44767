import type LeaseModel from './LeaseModel';
import leaseTicks from './leaseTicks';

type Machine = LeaseModel['machines'][number];

const older = (age: number): number => Math.min(age + 1, leaseTicks.lease);
const olderOrNull = (age: number | null): number | null => (age === null ? null : older(age));
const sooner = (wait: number): number => Math.max(0, wait - 1);

const machineAfterTick = ({ tenure, observed, call, ...machine }: Machine): Machine => ({
  ...machine,
  tenure: tenure && {
    ...tenure,
    age: older(tenure.age),
    orderWait: sooner(tenure.orderWait),
    unknownAge: olderOrNull(tenure.unknownAge),
  },
  observed: observed && { ...observed, age: older(observed.age) },
  call: call && {
    ...call,
    age: older(call.age),
    orderWait: call.orderWait === null ? null : sooner(call.orderWait),
  },
});

/**
 * Returns a state in which one tick more has passed for all machines.
 *
 * @example
 * steps.push({ name: 'time passes', next: leaseAfterTick(state) });
 */
const leaseAfterTick = (state: LeaseModel): LeaseModel => ({
  ...state,
  machines: state.machines.map(machineAfterTick),
  order: state.order && { ...state.order, age: older(state.order.age) },
});

export default leaseAfterTick;
