/** Kinds of edit. */
enum EditKind {
  Set = 'set',
  Remove = 'remove',
}

export default EditKind;
