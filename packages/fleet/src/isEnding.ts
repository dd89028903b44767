import type TargetView from './TargetView';

/**
 * Whether a target has announced when it is gone.
 *
 * @example
 * if (isEnding(table.get(id))) return;
 */
const isEnding = (view: Pick<TargetView, 'goneAtMs'> | undefined): boolean =>
  view !== undefined && view.goneAtMs < Infinity;

export default isEnding;
