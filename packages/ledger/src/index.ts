/** Roles elected through the log, and escrow budgets in which every token has exactly one owner. */
export { default as BudgetHome } from './BudgetHome';
export type { default as BudgetLink } from './BudgetLink';
export type { default as BudgetSyncRequest } from './BudgetSyncRequest';
export type { default as BudgetSyncReply } from './BudgetSyncReply';
export { default as EscrowBucket } from './EscrowBucket';
export { default as BorrowerAccount } from './BorrowerAccount';
export type { default as LoanRequest } from './LoanRequest';
export type { default as Reservation } from './Reservation';
export type { default as RoleHolder } from './RoleHolder';
export { default as RoleElector } from './RoleElector';
export { default as RoleRecordKind } from './RoleRecordKind';
export { default as rolesFold } from './rolesFold';
export type { default as RolesState } from './RolesState';
export { default as TakeoverReason } from './TakeoverReason';
export type { default as Tenure } from './Tenure';
export { default as WorkspaceBudget } from './WorkspaceBudget';
