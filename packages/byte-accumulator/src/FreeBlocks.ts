/**
 * Blocks of one size that are free to be used again. What bodies that give way leave would otherwise wait for the garbage collector,
 * which heeds memory outside its heap only from 64 MB on: more than the bodies themselves may hold on a small machine.
 *
 * @example
 * const block = freeBlocks.take() ?? Buffer.allocUnsafeSlow(size);
 */
class FreeBlocks {
  private readonly blocks: Buffer[] = [];

  constructor(
    readonly blockBytes: number,
    private readonly maxCount: number,
  ) {}

  /** Returns a block whose content is undefined. */
  take(): Buffer {
    return this.blocks.pop() ?? Buffer.allocUnsafeSlow(this.blockBytes);
  }

  /** Takes back a block that nothing refers to any more. */
  put(block: Buffer): void {
    if (block.length === this.blockBytes && this.blocks.length < this.maxCount) {
      this.blocks.push(block);
    }
  }
}

export default FreeBlocks;
