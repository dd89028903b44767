/** Returns the bounds of a search for a target that waits until this time and has not begun. */
const searchUntil = (untilMs: number) => ({
  excluded: new Map<string, number>(),
  untilMs,
  leavesAtMs: untilMs,
  hasBegun: false,
  isOver: () => false,
});

export default searchUntil;
