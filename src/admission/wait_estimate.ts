/**
 * Estimates how long a request waits for a slot, from the mean service time and
 * from the recent rate of admitted requests of higher priority, because those
 * overtake queued requests.
 */

/** Assumed until the first request has completed. */
const INITIAL_SERVICE_MS = 1_000;
/** Weight of the newest measurement in the mean service time. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Time constant of the exponential decay of the rate. */
const RATE_DECAY_MS = 5_000;
/**
 * Keeps the estimate finite if higher priorities take every slot. The rate is
 * based on a few dozen arrivals, too few to measure smaller shares.
 */
const MIN_SLOT_SHARE = 0.1;

export interface WaitEstimate {
  onAdmitted(priority: number): void;
  onCompleted(serviceMs: number): void;
  /** The wait behind this many requests if no later one overtakes. */
  estimateBaseMs(ahead: number, slots: number): number;
  /** The wait if requests of higher priority continue to arrive. */
  estimateMs(
    ahead: number,
    options: { readonly priority: number; readonly slots: number },
  ): number;
}

interface Arrivals {
  readonly count: number;
  readonly atMs: number;
}

export function createWaitEstimate(monotonicMs: () => number): WaitEstimate {
  const arrivalsByPriority = new Map<number, Arrivals>();
  let meanServiceMs = INITIAL_SERVICE_MS;

  /** Number of recent arrivals, each weighted by its age. */
  function readDecayedCount(priority: number): number {
    const arrivals = arrivalsByPriority.get(priority);
    if (arrivals === undefined) return 0;
    const ageMs = monotonicMs() - arrivals.atMs;
    return arrivals.count * Math.exp(-ageMs / RATE_DECAY_MS);
  }

  function estimateBaseMs(ahead: number, slots: number): number {
    return ((ahead + 1) * meanServiceMs) / Math.max(1, slots);
  }

  return {
    onAdmitted(priority) {
      const count = readDecayedCount(priority) + 1;
      arrivalsByPriority.set(priority, { count, atMs: monotonicMs() });
    },
    onCompleted(serviceMs) {
      meanServiceMs += (serviceMs - meanServiceMs) * SERVICE_TIME_WEIGHT;
    },
    estimateBaseMs,
    estimateMs(ahead, { priority, slots }) {
      const higherPerMs = [...arrivalsByPriority.keys()]
        .filter((other) => other > priority)
        .reduce(
          (sum, other) => sum + readDecayedCount(other) / RATE_DECAY_MS,
          0,
        );
      const freeShare = 1 - higherPerMs * estimateBaseMs(0, slots);
      return estimateBaseMs(ahead, slots) / Math.max(MIN_SLOT_SHARE, freeShare);
    },
  };
}
