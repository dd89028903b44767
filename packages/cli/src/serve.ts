import { createLogger, startInstance } from '@wisteriapath/daemon';
import ExitCode from './ExitCode';
import readSettings from './readSettings';

/**
 * Runs an entry instance until SIGTERM or SIGINT, then shuts it down gracefully and exits. Ignores further
 * signals during the shutdown.
 *
 * @example
 * await serve('entry.ini');
 */
const serve = async (file: string): Promise<void> => {
  const settings = readSettings(file);
  const logger = createLogger(settings.log.level, (line) => process.stdout.write(line));
  const instance = await startInstance(settings, logger);
  const stop = () => {
    void instance.stop().then(() => process.exit(ExitCode.Success));
  };
  let isStopping = false;
  ['SIGTERM', 'SIGINT'].forEach((signal) => {
    process.on(signal, () => {
      if (!isStopping) stop();
      isStopping = true;
    });
  });
};

export default serve;
