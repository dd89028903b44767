import { createLogger, startInstance } from '@wisteriapath/daemon';
import { type ProcessSignals, SignalMeaning } from '@wisteriapath/process-signals';
import ExitCode from './ExitCode';
import readSettings from './readSettings';

/**
 * Runs an entry instance until a signal asks for its stop, then shuts it down gracefully and exits. Ignores all other signals,
 * and further ones during the shutdown. Settings are read at the start only.
 *
 * @example
 * await serve('entry.ini', new ProcessSignals());
 */
const serve = async (file: string, signals: ProcessSignals): Promise<void> => {
  signals.handle(SignalMeaning.Stop, () => process.exit(ExitCode.Success));
  const settings = readSettings(file);
  const logger = createLogger(settings.log.level, (line) => process.stdout.write(line));
  const ignore = (signal: NodeJS.Signals) => logger.info({ signal }, 'signal_ignored');
  signals.handle(SignalMeaning.Reload, ignore);
  signals.handle(SignalMeaning.Nothing, ignore);
  const instance = await startInstance(settings, logger);
  signals.handle(SignalMeaning.Stop, () => {
    void instance.stop().then(() => process.exit(ExitCode.Success));
  });
};

export default serve;
