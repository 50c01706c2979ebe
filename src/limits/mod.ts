/** Client-account rate limits, limits of endpoints and the retry budget. */

export { createAccountLimits } from "./account_limits.ts";
export type { AccountLimits, AccountLimitsOptions } from "./account_limits.ts";
export {
  createLimitsNotice,
  fromLimitRecord,
  toLimitRecord,
} from "./limit_records.ts";
export { mergeStatements } from "./limit_statement.ts";
export type { LimitStatement } from "./limit_statement.ts";
export {
  createPermitLender,
  MIN_RATE_PER_S,
  PERMIT_VALID_MS,
} from "./permit_lender.ts";
export type { PermitAsk, PermitGrant, PermitLender } from "./permit_lender.ts";
export { claimTurns } from "./request_turns.ts";
export type { ClaimedTurns, TurnPosition } from "./request_turns.ts";
export { createRecentRecords } from "./recent_records.ts";
export type { RecentRecords } from "./recent_records.ts";
export { createStatedLimits } from "./stated_limits.ts";
export type {
  LimitedIncarnation,
  StatedLimit,
  StatedLimits,
} from "./stated_limits.ts";
export { createRetryBudget } from "./retry_budget.ts";
export type { RetryBudget, RetryCause } from "./retry_budget.ts";
export { computeReserveShare, splitColdLimit } from "./split_cold_limit.ts";
export type { ColdLimitParts } from "./split_cold_limit.ts";
export { createTokenBucket } from "./token_bucket.ts";
export type { TokenBucket, TokenBucketOptions } from "./token_bucket.ts";
