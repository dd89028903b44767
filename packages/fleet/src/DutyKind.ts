/** Duties that one instance at a time performs towards the platform. */
enum DutyKind {
  /** Reports what each workspace has used. */
  Usage = 'usage',
  /** Orders the number of instances of services. */
  Scaling = 'scaling',
}

export default DutyKind;
