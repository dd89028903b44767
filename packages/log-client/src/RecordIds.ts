import { randomBytes } from 'node:crypto';

const INCARNATION_BYTES = 9;

/**
 * Generates record ids: the random incarnation of this process and a sequence number. Ids are
 * unique across processes and restarts.
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
