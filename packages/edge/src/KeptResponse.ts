import type { ByteAccumulator } from '@wisteriapath/byte-accumulator';

/** A complete response, with the headers for the caller. */
interface KeptResponse {
  readonly status: number;
  readonly headers: Record<string, string | string[]>;
  readonly body: ByteAccumulator;
}

export default KeptResponse;
