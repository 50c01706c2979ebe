/**
 * The time up to which a key that is not in the table may already have run.
 */

/**
 * Allowance for clock skew. A key may be up to 1 s in the future when it runs,
 * and the clocks of a host and its replacement may differ by another second.
 */
const SKEW_ALLOWANCE_MS = 2_000;
/** A key further in the future could outlive the floor of a restart. */
const MAX_FUTURE_MS = 1_000;

export interface KeyFloor {
  valueMs(): number;
  /**
   * Covers all keys up to now, as at a start: another process may have run
   * them meanwhile.
   */
  restart(nowMs: number): void;
  /** Only ever raises the floor. */
  raise(toMs: number): void;
  /** True if a key of this time may have run without being in the table. */
  covers(keyTimeMs: number): boolean;
  isTooNew(keyTimeMs: number, nowMs: number): boolean;
}

export function createKeyFloor(startedAtMs: number): KeyFloor {
  let valueMs = startedAtMs + SKEW_ALLOWANCE_MS;
  return {
    valueMs: () => valueMs,
    restart(nowMs) {
      valueMs = Math.max(valueMs, nowMs + SKEW_ALLOWANCE_MS);
    },
    raise(toMs) {
      valueMs = Math.max(valueMs, toMs);
    },
    covers: (keyTimeMs) => keyTimeMs <= valueMs,
    isTooNew: (keyTimeMs, nowMs) => keyTimeMs > nowMs + MAX_FUTURE_MS,
  };
}
