import { ProcessSignals } from '@wisteriapath/process-signals';

const SERVE = 'serve';

/** Handles signals from when this module is loaded, if the command is to serve; the other commands end as usual. Import it first. */
const serveSignals = process.argv.includes(SERVE) ? new ProcessSignals() : undefined;

export default serveSignals;
