import OutputWriter from './OutputWriter';
import openLogOutput from './openLogOutput';

const STDERR = 2;

/**
 * Writes a text to standard error before the process exits. Resolves once it is written, is lost by an error, or has found no
 * room for 0.2 s in which this process could run; never blocks, as a write by `process.stderr` to a terminal does.
 *
 * @example
 * await writeError('settings file node.toml: not found\n');
 */
const writeError = async (text: string): Promise<void> => {
  const texts = [text];
  const writer = new OutputWriter(openLogOutput(STDERR), {
    hasText: () => texts.length > 0,
    take: () => texts.pop() ?? '',
    onWritten: () => {},
  });
  await writer.finish();
};

export default writeError;
