/**
 * The retry budget of one entry: retries in the last ten seconds are at most
 * 10% of the requests in it, and at least one a second is granted.
 */

const SLOT_MS = 1_000;
const SLOTS = 10;
const SHARE = 0.1;
const MIN_PER_SLOT = 1;

export interface RetryBudget {
  onRequest(): void;
  /** Takes a retry if the budget allows one. */
  take(): boolean;
  /** Counts a retry that is made whether or not the budget allows it. */
  charge(): void;
}

interface Slot {
  index: number;
  requests: number;
  retries: number;
}

/** `nowMs` is a monotonic clock. */
export function createRetryBudget(nowMs: () => number): RetryBudget {
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

  function isAllowed(current: Slot): boolean {
    const recent = slots.filter((slot) => slot.index > current.index - SLOTS);
    const requests = recent.reduce((sum, slot) => sum + slot.requests, 0);
    const retries = recent.reduce((sum, slot) => sum + slot.retries, 0);
    return retries < Math.max(MIN_PER_SLOT * SLOTS, requests * SHARE);
  }

  return {
    onRequest() {
      currentSlot().requests += 1;
    },
    take() {
      const slot = currentSlot();
      if (!isAllowed(slot)) return false;
      slot.retries += 1;
      return true;
    },
    charge() {
      currentSlot().retries += 1;
    },
  };
}
