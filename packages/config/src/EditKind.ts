/** Kinds of configuration edit. */
enum EditKind {
  /** Creates or replaces a row. */
  Set = 'set',
  Remove = 'remove',
}

export default EditKind;
