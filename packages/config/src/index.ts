/**
 * Settings of a process, and the configuration tables that operators edit: their validation, their
 * fold over the log, and their checkpoints.
 */
export { default as applyEdit } from './applyEdit';
export { default as configCodec } from './configCodec';
export { default as configFold } from './configFold';
export { default as ConfigCheckpoints } from './ConfigCheckpoints';
export type { default as ConfigEdit } from './ConfigEdit';
export type { default as ConfigState } from './ConfigState';
export { default as diffTables } from './diffTables';
export { default as EditKind } from './EditKind';
export { default as emptyConfig } from './emptyConfig';
export type { default as ValidationError } from './ValidationError';
export { default as findWorkspaceKey } from './findWorkspaceKey';
export { default as formatValidationError } from './formatValidationError';
export { default as getRow } from './getRow';
export { default as parseRow } from './parseRow';
export { default as parseSettings } from './parseSettings';
export { default as parseTable } from './parseTable';
export type { default as Row } from './Row';
export { default as rowName } from './rowName';
export type { default as RowValueByTable } from './RowValueByTable';
export { default as rowSchemas } from './rowSchemas';
export type { default as Settings } from './Settings';
export { default as settingsReference } from './settingsReference';
export { default as settingsSchema } from './settingsSchema';
export type { default as TableChange } from './TableChange';
