/** Byte rate over a sliding window of ten slots of one second. */

const SLOT_MS = 1_000;
const SLOTS = 10;

export interface RecentRate {
  add(bytes: number): void;
  /** 0 if nothing was received within the window. */
  bytesPerS(): number;
}

export function createRecentRate(nowMs: () => number): RecentRate {
  const startedAtMs = nowMs();
  const slots = Array.from({ length: SLOTS }, () => ({ number: -1, bytes: 0 }));

  function getSlotNumber(): number {
    return Math.floor((nowMs() - startedAtMs) / SLOT_MS);
  }

  return {
    add(bytes) {
      const number = getSlotNumber();
      const slot = slots[number % SLOTS]!;
      if (slot.number !== number) Object.assign(slot, { number, bytes: 0 });
      slot.bytes += bytes;
    },
    bytesPerS() {
      const number = getSlotNumber();
      const bytes = slots
        .filter((slot) => slot.number > number - SLOTS)
        .reduce((sum, slot) => sum + slot.bytes, 0);
      const elapsedMs = nowMs() - startedAtMs;
      // The current slot is incomplete; the first window is shorter.
      const windowMs = Math.min(
        elapsedMs,
        (SLOTS - 1) * SLOT_MS + (elapsedMs % SLOT_MS),
      );
      return bytes / (Math.max(SLOT_MS, windowMs) / 1000);
    },
  };
}
