/** What a waiting model needs, by the loads of it that are under way. */
enum LoadNeed {
  /** No load is under way. */
  AnyLoad = 'any_load',
  /** One is under way that ends much later than one from a copy would. */
  LoadFromCopy = 'load_from_copy',
  Nothing = 'nothing',
}

export default LoadNeed;
