/** A model or adapter in the memory of an engine stand-in. */
class LoadedModel {
  private phase: 'loading' | 'ready' | 'unloading' = 'loading';

  constructor(
    readonly id: string,
    readonly sizeMb: number,
  ) {}

  get ready(): boolean {
    return this.phase === 'ready';
  }

  get isLoading(): boolean {
    return this.phase === 'loading';
  }

  finishLoading(): void {
    if (this.isLoading) this.phase = 'ready';
  }

  beginUnloading(): void {
    this.phase = 'unloading';
  }
}

export default LoadedModel;
