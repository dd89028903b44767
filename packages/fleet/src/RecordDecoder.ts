import type { Either } from 'purify-ts';
import type DesiredState from './DesiredState';
import type RegisteredTarget from './RegisteredTarget';

/** Decodes the records of the platform's store. */
interface RecordDecoder {
  /** Returns the failure domain that a key of the operator takes out of service; undefined for other keys. */
  drainedDomain(key: string): string | undefined;
  /** Whether a key of the operator holds the desired state. */
  isDesiredState(key: string): boolean;
  /** Decodes a desired state; undefined if it is not valid. */
  desiredState(value: Uint8Array): DesiredState | undefined;
  /** Decodes a target's entry; returns the reason if it is not valid. */
  target(id: string, value: Uint8Array): Either<string, RegisteredTarget>;
}

export default RecordDecoder;
