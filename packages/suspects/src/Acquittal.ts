/** A trait on which a target has begun to answer, with the ids of the crashes that it is acquitted of. */
interface Acquittal {
  readonly trait: string;
  readonly crashIds: readonly string[];
}

export default Acquittal;
