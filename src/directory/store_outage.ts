/**
 * Measures for how long all requests to the store have failed. The timeout
 * for older versions of weights applies while the store is available; after an
 * outage it starts when the store is back. Otherwise endpoints would get no
 * work because of a version that they could not yet have learned of. The end of
 * an outage is known only to lie after the last failed request was sent.
 */

/** A shorter period of failures counts as a slow store, not as an outage. */
export const MIN_OUTAGE_MS = 3_000;
/** A change seen later than this after an outage was not delayed by it. */
const RECOVERY_MS = 2_000;
/**
 * A process without any response yet must have tried for this long before the
 * outage is assumed to have begun before the process.
 */
const MIN_INITIAL_OUTAGE_MS = 500;

export interface OutageSpan {
  /** As `durationMs` of `StoreOutage`. */
  readonly durationMs: number;
  /** When the first failure was seen. */
  readonly firstFailedAtMs: number;
  /** When the last request that failed was sent. */
  readonly lastSentAtMs: number;
}

export interface StoreOutage {
  recordSuccess(): void;
  recordFailure(sentAtMs: number): void;
  /** Called after a pause of this process, which can make requests fail. */
  reset(): void;
  /**
   * Time from the first to the last failure of an outage that continues or has
   * just ended; 0 otherwise. Infinity if the outage began before this process
   * started, because then at most its peers know the duration.
   */
  durationMs(): number;
  /** Undefined while `durationMs` is 0. */
  span(): OutageSpan | undefined;
}

interface Streak {
  readonly firstMs: number;
  readonly lastMs: number;
  readonly lastSentAtMs: number;
}

/** `nowMs` is a monotonic clock. */
export function createStoreOutage(nowMs: () => number): StoreOutage {
  let streak: Streak | undefined;
  let endedAtMs: number | undefined;
  let hasSucceeded = false;
  let isInitial = false;
  let triedSinceMs = nowMs();

  function durationMs(): number {
    if (streak === undefined) return 0;
    const hasPassed =
      endedAtMs !== undefined && nowMs() - endedAtMs > RECOVERY_MS;
    if (hasPassed) return 0;
    const isLong = streak.lastMs - triedSinceMs >= MIN_INITIAL_OUTAGE_MS;
    return isInitial && isLong ? Infinity : streak.lastMs - streak.firstMs;
  }

  return {
    recordSuccess() {
      if (streak !== undefined) endedAtMs ??= nowMs();
      hasSucceeded = true;
    },
    recordFailure(sentAtMs) {
      const now = nowMs();
      const isNew = streak === undefined || endedAtMs !== undefined;
      if (isNew) isInitial = !hasSucceeded;
      streak = {
        firstMs: isNew ? now : streak!.firstMs,
        lastMs: now,
        lastSentAtMs: isNew
          ? sentAtMs
          : Math.max(sentAtMs, streak!.lastSentAtMs),
      };
      endedAtMs = undefined;
    },
    reset() {
      streak = undefined;
      endedAtMs = undefined;
      triedSinceMs = nowMs();
    },
    durationMs,
    span() {
      const spanMs = durationMs();
      if (streak === undefined || spanMs === 0) return undefined;
      const { firstMs: firstFailedAtMs, lastSentAtMs } = streak;
      return { durationMs: spanMs, firstFailedAtMs, lastSentAtMs };
    },
  };
}
