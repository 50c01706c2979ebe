/**
 * Computes the retry delay for refused callers from the share of calls that
 * were refused lately. During an overload of several seconds, callers that
 * retry at once are refused again and run out of attempts, so the delay, and
 * with it the jitter, grows with that share.
 */

const SLOTS = 10;
const SLOT_MS = 200;
/** Delay when hardly any call is refused: another entry may accept the call. */
const MIN_DELAY_MS = 120;
/** Delay when every call is refused: about the time of a version switch. */
const MAX_DELAY_MS = 1_500;

export interface RefusalTracker {
  countAdmitted(): void;
  countRefused(): void;
  /** Share of the calls in the last two seconds that were refused. */
  refusedShare(): number;
  computeRetryDelayMs(): number;
}

interface Slot {
  index: number;
  admitted: number;
  refused: number;
}

export function createRefusalTracker(nowMs: () => number): RefusalTracker {
  const slots: Slot[] = Array.from({ length: SLOTS }, () => ({
    index: -SLOTS,
    admitted: 0,
    refused: 0,
  }));

  function currentSlot(): Slot {
    const index = Math.floor(nowMs() / SLOT_MS);
    const slot = slots[index % SLOTS]!;
    if (slot.index !== index) {
      slot.index = index;
      slot.admitted = 0;
      slot.refused = 0;
    }
    return slot;
  }

  function refusedShare(): number {
    const current = currentSlot();
    const recent = slots.filter(({ index }) => index > current.index - SLOTS);
    const refused = recent.reduce((sum, slot) => sum + slot.refused, 0);
    const admitted = recent.reduce((sum, slot) => sum + slot.admitted, 0);
    return refused === 0 ? 0 : refused / (refused + admitted);
  }

  return {
    countAdmitted: () => void (currentSlot().admitted += 1),
    countRefused: () => void (currentSlot().refused += 1),
    refusedShare,
    computeRetryDelayMs: () =>
      MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * refusedShare(),
  };
}
