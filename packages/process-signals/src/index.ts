/** The signals of a process: what each asks for, and when it is handled. */
export { default as ProcessSignals } from './ProcessSignals';
export { default as SignalMeaning } from './SignalMeaning';
export { default as signalMeanings } from './signalMeanings';
