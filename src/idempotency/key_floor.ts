/**
 * The key floor: a key of this time or earlier that is not in the key table may
 * already have run.
 */

/**
 * A key may be up to 1 s in the future when it runs, and the clocks of a host
 * and its replacement may differ by another second.
 */
const SKEW_ALLOWANCE_MS = 2_000;
/** A key further in the future could be above the floor after a restart. */
const MAX_FUTURE_MS = 1_000;

export interface KeyFloor {
  valueMs(): number;
  /**
   * Raises the floor to the current time, as at a start, because another
   * process may have run keys in the meantime.
   */
  raiseToNow(nowMs: number): void;
  /** No effect if the floor is higher already. */
  raise(toMs: number): void;
  /** True if a key of this time may have run without being in the table. */
  covers(keyTimeMs: number): boolean;
  isTooNew(keyTimeMs: number, nowMs: number): boolean;
}

export function createKeyFloor(startedAtMs: number): KeyFloor {
  let valueMs = startedAtMs + SKEW_ALLOWANCE_MS;
  return {
    valueMs: () => valueMs,
    raiseToNow(nowMs) {
      valueMs = Math.max(valueMs, nowMs + SKEW_ALLOWANCE_MS);
    },
    raise(toMs) {
      valueMs = Math.max(valueMs, toMs);
    },
    covers: (keyTimeMs) => keyTimeMs <= valueMs,
    isTooNew: (keyTimeMs, nowMs) => keyTimeMs > nowMs + MAX_FUTURE_MS,
  };
}
