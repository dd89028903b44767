/**
 * Returns the id of a model, or of an adapter of a model, as one string.
 *
 * @example
 * assetId('llama', 'a3'); // 'llama/a3'
 */
const assetId = (model: string, adapter: string | null): string =>
  adapter === null ? model : `${model}/${adapter}`;

export default assetId;
