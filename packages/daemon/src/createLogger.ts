import { stringify } from 'logfmt';
import pino, { type Logger } from 'pino';

type Level = 'debug' | 'info' | 'warn' | 'error';

const flatten = (value: unknown): string =>
  typeof value === 'object' && value !== null ? JSON.stringify(value) : String(value);

/**
 * Creates a logger that writes one line of key=value pairs (logfmt) for each event.
 *
 * @example
 * const logger = createLogger('info', (line) => process.stdout.write(line));
 */
const createLogger = (level: Level, write: (line: string) => void): Logger => {
  const destination = {
    write: (json: string) => {
      const fields = JSON.parse(json) as Record<string, unknown>;
      const flat = Object.fromEntries(
        Object.entries(fields).map(([key, value]) => [key, flatten(value)]),
      );
      write(`${stringify(flat)}\n`);
    },
  };
  const options = {
    level,
    base: null,
    messageKey: 'event',
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (label: string) => ({ level: label }) },
  };
  return pino(options, destination);
};

export default createLogger;
