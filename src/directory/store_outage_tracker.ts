/**
 * For how long no question to the store has been answered. The bound on older
 * versions of weights holds while the store is in order; after an absence it
 * counts from the store's return, and without this endpoints would be refused
 * work for a version that nobody could have learned of.
 */

/** After this the store's return no longer explains how late a change is. */
const RECOVERY_GRACE_MS = 2_000;
/** A process that never had an answer has tried for this long by then. */
const MIN_INITIAL_OUTAGE_MS = 500;

export interface StoreOutageTracker {
  recordSuccess(): void;
  recordFailure(): void;
  /** Questions can also fail because this process stood still. */
  reset(): void;
  /**
   * From the first to the last failure; 0 unless it lasts or has just ended.
   * Infinity if it began before this process: only peers know for how long.
   */
  durationMs(): number;
}

interface FailureStreak {
  readonly firstMs: number;
  readonly lastMs: number;
}

/** `nowMs` is a monotonic clock. */
export function createStoreOutageTracker(
  nowMs: () => number,
): StoreOutageTracker {
  let streak: FailureStreak | undefined;
  let endedAtMs: number | undefined;
  let hasSucceeded = false;
  let isInitial = false;
  let tryingSinceMs = nowMs();

  return {
    recordSuccess() {
      if (streak !== undefined) endedAtMs ??= nowMs();
      hasSucceeded = true;
    },
    recordFailure() {
      const now = nowMs();
      const isNew = streak === undefined || endedAtMs !== undefined;
      if (isNew) isInitial = !hasSucceeded;
      streak = { firstMs: isNew ? now : streak!.firstMs, lastMs: now };
      endedAtMs = undefined;
    },
    reset() {
      streak = undefined;
      endedAtMs = undefined;
      tryingSinceMs = nowMs();
    },
    durationMs() {
      if (streak === undefined) return 0;
      const isOver =
        endedAtMs !== undefined && nowMs() - endedAtMs > RECOVERY_GRACE_MS;
      if (isOver) return 0;
      const hasTriedLong =
        streak.lastMs - tryingSinceMs >= MIN_INITIAL_OUTAGE_MS;
      return isInitial && hasTriedLong
        ? Infinity
        : streak.lastMs - streak.firstMs;
    },
  };
}
