/**
 * How long a request is likely to wait for a slot: by the mean service time,
 * and by the rate at which higher priorities have lately been admitted, because
 * those go ahead of what already waits.
 */

/** Assumed until the first request has been measured. */
const INITIAL_SERVICE_MS = 1_000;
/** Weight of the newest measurement in the mean service time. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Arrivals count towards the rate for about this long. */
const RATE_SPAN_MS = 5_000;
/**
 * Keeps the estimate finite when higher priorities take every slot. The rate
 * counts some dozens of arrivals only, too few to tell smaller shares apart.
 */
const MIN_SLOT_SHARE = 0.1;

export interface WaitEstimate {
  onAdmitted(priority: number): void;
  onServed(tookMs: number): void;
  /** The wait behind this many requests if nothing goes ahead of it. */
  readPlainMs(ahead: number, slots: number): number;
  /** The wait while higher priorities go on arriving. */
  readMs(
    ahead: number,
    options: { readonly priority: number; readonly slots: number },
  ): number;
}

interface Arrivals {
  readonly count: number;
  readonly atMs: number;
}

export function createWaitEstimate(monotonicMs: () => number): WaitEstimate {
  const arrivalsOf = new Map<number, Arrivals>();
  let meanServiceMs = INITIAL_SERVICE_MS;

  /** Count of the last arrivals, each weighted by its age. */
  function readCount(priority: number): number {
    const arrivals = arrivalsOf.get(priority);
    if (arrivals === undefined) return 0;
    const ageMs = monotonicMs() - arrivals.atMs;
    return arrivals.count * Math.exp(-ageMs / RATE_SPAN_MS);
  }

  function readPlainMs(ahead: number, slots: number): number {
    return ((ahead + 1) * meanServiceMs) / Math.max(1, slots);
  }

  return {
    onAdmitted(priority) {
      const count = readCount(priority) + 1;
      arrivalsOf.set(priority, { count, atMs: monotonicMs() });
    },
    onServed(tookMs) {
      meanServiceMs += (tookMs - meanServiceMs) * SERVICE_TIME_WEIGHT;
    },
    readPlainMs,
    readMs(ahead, { priority, slots }) {
      const higherPerMs = [...arrivalsOf.keys()]
        .filter((other) => other > priority)
        .reduce((sum, other) => sum + readCount(other) / RATE_SPAN_MS, 0);
      const share = 1 - higherPerMs * readPlainMs(0, slots);
      return readPlainMs(ahead, slots) / Math.max(MIN_SLOT_SHARE, share);
    },
  };
}
