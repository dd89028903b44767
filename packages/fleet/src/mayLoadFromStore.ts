import type ModelSpec from './ModelSpec';
import type WaitingModel from './WaitingModel';

/**
 * Whether a waiting model may come from the weight store. In a deferring pool it may not while an engine has a copy, unless it has been
 * asked for in vain for as long as such a load takes: the load would end after the callers have left, and no copy would be loaded
 * meanwhile. It answers a load under which the engines with copies are busy or in use for a moment.
 *
 * @example
 * if (mayLoadFromStore(waiting, spec)) plan(spec);
 */
const mayLoadFromStore = (
  { order, isFromStore, unservedMs }: Pick<WaitingModel, 'order' | 'isFromStore' | 'unservedMs'>,
  { storeLoadMs }: Pick<ModelSpec, 'storeLoadMs'>,
): boolean => order === null || isFromStore || unservedMs >= storeLoadMs;

export default mayLoadFromStore;
