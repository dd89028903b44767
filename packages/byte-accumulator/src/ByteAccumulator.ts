import FreeBlocks from './FreeBlocks';

/** Size of the first block, so that many short contents do not hold a large block each. */
const MIN_BLOCK_BYTES = 1_024;
/** Size up to which blocks grow with the content; larger ones would leave more of the last one unused. */
const MAX_BLOCK_BYTES = 65_536;

/** 8 MB: what the largest bodies leave, until others take it. */
const MAX_FREE_BLOCKS = 128;

const freeBlocks = new FreeBlocks(MAX_BLOCK_BYTES, MAX_FREE_BLOCKS);

const EMPTY = Buffer.alloc(0);

/**
 * Keeps bytes that arrive in pieces. A Buffer of its own costs over a hundred bytes, and a view keeps the whole memory behind it, so
 * pieces are copied into blocks, and their number costs nothing.
 *
 * `heldBytes` is at most `sizeBytes` and one block, and at most 1 kB for a content of a few bytes. The time to append and to take all is linear in the number of bytes.
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
    for (let from = fitting; from < chunk.length; from += this.usedBytes) {
      this.appendBlock(chunk.subarray(from));
    }
  }

  /** Returns the content in one piece and keeps none of it. */
  take(): Buffer {
    const content = this.joined();
    // A single block is given away.
    if (this.blocks.length === 1) this.blocks = [];
    this.clear();
    return content;
  }

  /** The content in order, in as many pieces as it takes. They are valid until the next `append`, `take` or `clear`. */
  get pieces(): readonly Buffer[] {
    return this.blocks.map((block, index) =>
      index === this.blocks.length - 1 ? block.subarray(0, this.usedBytes) : block,
    );
  }

  /** Drops the content. Its memory may be used again at once. */
  clear(): void {
    this.blocks.forEach((block) => freeBlocks.put(block));
    this.blocks = [];
    this.usedBytes = 0;
    this.contentBytes = 0;
    this.blockBytes = 0;
  }

  /** Adds a block with as many of these bytes as fit in it. */
  private appendBlock(rest: Uint8Array): void {
    const grown = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.contentBytes));
    const size = Math.max(grown, rest.length);
    // A Buffer of Node.js's pool would keep the memory of its neighbors.
    const isLarge = size > MAX_BLOCK_BYTES / 2;
    const block = isLarge ? freeBlocks.take() : Buffer.allocUnsafeSlow(size);
    const fitting = rest.length > block.length ? rest.subarray(0, block.length) : rest;
    block.set(fitting);
    this.blocks.push(block);
    this.usedBytes = fitting.length;
    this.contentBytes += fitting.length;
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
