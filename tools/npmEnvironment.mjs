/** Settings of npm that would leave out packages, and that no argument sets back to what npm does without them. */
const LEFT_OUT = /^npm_config_(workspace|workspaces|include_workspace_root)$/i;

/**
 * Returns an environment for npm without these settings.
 *
 * @example
 * npmEnvironment({ PATH: '/bin', npm_config_workspaces: 'false' }); // { PATH: '/bin' }
 */
const npmEnvironment = (env) =>
  Object.fromEntries(
    Object.entries(env).filter(([name]) => !LEFT_OUT.test(name.replaceAll('-', '_'))),
  );

export default npmEnvironment;
