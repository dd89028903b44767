/** Size of the first block, so that many short contents do not hold a large block each. */
const MIN_BLOCK_BYTES = 1_024;
/** Size up to which blocks grow with the content; larger ones would leave more of the last one unused. */
const MAX_BLOCK_BYTES = 65_536;

const EMPTY = Buffer.alloc(0);

/**
 * Keeps bytes that arrive in pieces. A Buffer of its own costs over a hundred bytes, and a view keeps the whole memory behind it, so
 * pieces are copied into blocks, and their number costs nothing.
 *
 * `heldBytes` is at most `2 * sizeBytes` and one block, as a block is no larger than the content before it or the piece that it is
 * made for. The time to append and to take all is linear in the number of bytes.
 *
 * @example
 * const body = new ByteAccumulator();
 * request.on('data', (chunk: Buffer) => body.append(chunk));
 * request.on('end', () => handle(body.take()));
 */
class ByteAccumulator {
  private blocks: Buffer[] = [];

  /** Bytes of the last block that hold content. */
  private usedBytes = 0;

  private contentBytes = 0;

  private blockBytes = 0;

  /** Bytes of content. */
  get sizeBytes(): number {
    return this.contentBytes;
  }

  /** Memory that is occupied, with the unused rest of the last block. */
  get heldBytes(): number {
    return this.blockBytes;
  }

  /** Adds a copy of a piece. */
  append(chunk: Uint8Array): void {
    const last = this.blocks.at(-1);
    const fitting = last === undefined ? 0 : Math.min(chunk.length, last.length - this.usedBytes);
    if (last !== undefined && fitting > 0) {
      last.set(fitting === chunk.length ? chunk : chunk.subarray(0, fitting), this.usedBytes);
      this.usedBytes += fitting;
      this.contentBytes += fitting;
    }
    if (fitting < chunk.length) this.appendBlock(chunk.subarray(fitting));
  }

  /** Returns the content in one piece and keeps none of it. */
  take(): Buffer {
    const content = this.joined();
    this.clear();
    return content;
  }

  /** Drops the content. */
  clear(): void {
    this.blocks = [];
    this.usedBytes = 0;
    this.contentBytes = 0;
    this.blockBytes = 0;
  }

  private appendBlock(rest: Uint8Array): void {
    const grown = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.contentBytes));
    // A pooled Buffer would keep the memory of its neighbors.
    const block = Buffer.allocUnsafeSlow(Math.max(grown, rest.length));
    block.set(rest);
    this.blocks.push(block);
    this.usedBytes = rest.length;
    this.contentBytes += rest.length;
    this.blockBytes += block.length;
  }

  private joined(): Buffer {
    const [first] = this.blocks;
    if (first === undefined) return EMPTY;
    if (this.blocks.length === 1) return first.subarray(0, this.contentBytes);
    return Buffer.concat(this.blocks, this.contentBytes);
  }
}

export default ByteAccumulator;
