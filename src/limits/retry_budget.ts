/**
 * The retry budget of one entry. Retries in the last ten seconds are limited
 * to a share of the requests in that time, by default 10%, but a minimum is
 * always granted, by default one a second.
 */

const SLOT_MS = 1_000;
const SLOTS = 10;
const DEFAULT_RETRY_RATIO = 0.1;
const MIN_PER_SLOT = 1;
/**
 * Share of the budget for retries after overload, when almost every request is
 * refused once and other endpoints are likely to be full as well. The rest is
 * reserved for requests that lost their endpoint, whose outcome would
 * otherwise be unknown.
 */
const OVERLOAD_SHARE = 0.5;

export type RetryCause = "overloaded" | "other";

export interface RetryBudget {
  recordRequest(): void;
  /** Takes a retry if the budget allows one for this cause. */
  takeRetry(cause?: RetryCause): boolean;
  /** Counts a retry that is made regardless of the budget. */
  recordRetry(): void;
}

interface Slot {
  index: number;
  requests: number;
  retries: number;
}

export interface RetryBudgetOptions {
  /** Retries allowed for each request. */
  readonly retryRatio?: number;
  /** Retries in ten seconds that are granted at any request rate. */
  readonly getMinimum?: () => number;
}

/** `nowMs` is a monotonic clock. */
export function createRetryBudget(
  nowMs: () => number,
  options: RetryBudgetOptions = {},
): RetryBudget {
  const {
    retryRatio = DEFAULT_RETRY_RATIO,
    getMinimum = () => MIN_PER_SLOT * SLOTS,
  } = options;
  const slots: Slot[] = Array.from({ length: SLOTS }, () => ({
    index: -1,
    requests: 0,
    retries: 0,
  }));

  function currentSlot(): Slot {
    const index = Math.floor(nowMs() / SLOT_MS);
    const slot = slots[index % SLOTS]!;
    if (slot.index !== index) {
      slot.index = index;
      slot.requests = 0;
      slot.retries = 0;
    }
    return slot;
  }

  function isAllowed(current: Slot, cause: RetryCause): boolean {
    const recent = slots.filter((slot) => slot.index > current.index - SLOTS);
    const requests = recent.reduce((sum, slot) => sum + slot.requests, 0);
    const retries = recent.reduce((sum, slot) => sum + slot.retries, 0);
    const budget = Math.max(getMinimum(), requests * retryRatio);
    return retries < budget * (cause === "overloaded" ? OVERLOAD_SHARE : 1);
  }

  return {
    recordRequest() {
      currentSlot().requests += 1;
    },
    takeRetry(cause = "other") {
      const slot = currentSlot();
      if (!isAllowed(slot, cause)) return false;
      slot.retries += 1;
      return true;
    },
    recordRetry() {
      currentSlot().retries += 1;
    },
  };
}
