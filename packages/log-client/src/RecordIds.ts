import { randomBytes } from 'node:crypto';

const INCARNATION_BYTES = 9;

/**
 * Unique record ids of one process: its incarnation and a sequence number.
 *
 * @example
 * const ids = new RecordIds();
 * ids.next(); // 'qk3...:1'
 */
class RecordIds {
  readonly incarnation = randomBytes(INCARNATION_BYTES).toString('base64url');

  private sequence = 0;

  next(): string {
    this.sequence += 1;
    return `${this.incarnation}:${this.sequence}`;
  }
}

export default RecordIds;
