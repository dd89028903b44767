/** A trait on which a target has begun to answer, with the ids of the crashes that it is cleared of. */
interface Clearance {
  readonly trait: string;
  readonly crashIds: readonly string[];
}

export default Clearance;
