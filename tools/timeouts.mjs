/** How long each step of a build may take, in ms. The platform ends a build after 15 minutes. */
export default {
  waitMs: 240_000,
  configMs: 30_000,
  installMs: 360_000,
  bundleMs: 60_000,
  checkMs: 60_000,
};
