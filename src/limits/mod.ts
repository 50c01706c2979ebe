/** Client-account rate limits and the retry budget. */

export { createAccountLimits } from "./account_limits.ts";
export type { AccountLimits, AccountLimitsOptions } from "./account_limits.ts";
export { createRetryBudget } from "./retry_budget.ts";
export type { RetryBudget, RetryCause } from "./retry_budget.ts";
export { computeReserveShare, splitColdLimit } from "./split_cold_limit.ts";
export type { ColdLimitParts } from "./split_cold_limit.ts";
export { createTokenBucket } from "./token_bucket.ts";
export type { TokenBucket, TokenBucketOptions } from "./token_bucket.ts";
