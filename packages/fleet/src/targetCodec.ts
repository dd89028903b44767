import type RegisteredTarget from './RegisteredTarget';

/** A target whose maps and sets are plain lists, as a datagram carries it. */
type PackedTarget = readonly [
  Omit<RegisteredTarget, 'models' | 'inMemory' | 'onDisk'>,
  readonly (readonly [string, readonly string[]])[],
  readonly string[],
  readonly string[],
];

const pack = ({ models, inMemory, onDisk, ...rest }: RegisteredTarget): PackedTarget => [
  rest,
  [...models].map(([model, adapters]) => [model, [...adapters]] as const),
  [...inMemory],
  [...onDisk],
];

const unpack = ([rest, models, inMemory, onDisk]: PackedTarget): RegisteredTarget => ({
  ...rest,
  models: new Map(models.map(([model, adapters]) => [model, new Set(adapters)])),
  inMemory: new Set(inMemory),
  onDisk: new Set(onDisk),
});

/**
 * Converts targets to and from the form that datagrams carry.
 *
 * @example
 * targetCodec.unpack(targetCodec.pack(target));
 */
const targetCodec = { pack, unpack };

export default targetCodec;
