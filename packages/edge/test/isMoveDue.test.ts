/** A stream is moved from a target that is about to end only if it would not end before, and as late as is safe. */
import isMoveDue from '../src/isMoveDue';

const GONE_AT_MS = 10_000;

test.each([
  ['its target has not announced an end', Infinity, 60_000, 9_500, false],
  ['its target goes on for a while', GONE_AT_MS, 60_000, 8_900, false],
  ['its target is about to end', GONE_AT_MS, 60_000, 9_000, true],
  ['it ends before its target', GONE_AT_MS, 9_900, 9_500, false],
  ['it should have ended already, so that its end is not known', GONE_AT_MS, 9_400, 9_500, true],
  ['its target should be gone already', GONE_AT_MS, 60_000, 12_000, true],
])('a stream when %s', (_, goneAtMs, expectedEndMs, nowMs, isMoved) => {
  expect(isMoveDue({ goneAtMs, expectedEndMs }, nowMs)).toBe(isMoved);
});
