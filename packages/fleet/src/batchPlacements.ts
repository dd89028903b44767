import type PlacementUpdate from './PlacementUpdate';

const APPROXIMATE_PLACEMENT_BYTES = 60;
const APPROXIMATE_MODEL_BYTES = 40;
const APPROXIMATE_ADAPTER_BYTES = 4;

const sizeOf = ({ models }: PlacementUpdate): number => {
  const adapterCount = models.flatMap(([, adapters]) => adapters).length;
  return (
    APPROXIMATE_PLACEMENT_BYTES +
    APPROXIMATE_MODEL_BYTES * models.length +
    APPROXIMATE_ADAPTER_BYTES * adapterCount
  );
};

/**
 * Splits placement updates into batches of about the size of one datagram.
 *
 * @example
 * batchPlacements(updates, 1_200).forEach((batch) => send(batch));
 */
const batchPlacements = (
  updates: readonly PlacementUpdate[],
  maxBytes: number,
): readonly (readonly PlacementUpdate[])[] => {
  const batches: PlacementUpdate[][] = [];
  let bytes = Infinity;
  updates.forEach((update) => {
    if (bytes >= maxBytes) {
      batches.push([]);
      bytes = 0;
    }
    batches[batches.length - 1].push(update);
    bytes += sizeOf(update);
  });
  return batches;
};

export default batchPlacements;
