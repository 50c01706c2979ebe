/**
 * The number of requests that an endpoint may run at once: the cold limit
 * after each restart, then a stepwise rise to the warm limit.
 */

import type { AdmissionLimits } from "../document/mod.ts";

/** Raises the limit by about half in the time of one round of requests. */
const RISE_PER_SUCCESS = 0.5;

export interface ConcurrencyLimit {
  /** Whole number of slots; never below 1 while limits are configured. */
  value(isWarm: boolean): number;
  onSuccess(isWarm: boolean): void;
  onFailure(): void;
  /** Starts again from the cold limit. */
  reset(): void;
}

export function createConcurrencyLimit(
  limits: () => AdmissionLimits | undefined,
): ConcurrencyLimit {
  // Undefined stands for the cold limit, which the document may change.
  let current: number | undefined;

  function readCurrent({ coldConcurrency, warmConcurrency }: AdmissionLimits) {
    return Math.max(1, Math.min(current ?? coldConcurrency, warmConcurrency));
  }

  return {
    value(isWarm) {
      const found = limits();
      if (found === undefined) return 0;
      const allowed = Math.floor(readCurrent(found));
      return isWarm ? allowed : Math.min(allowed, found.coldConcurrency);
    },
    onSuccess(isWarm) {
      const found = limits();
      if (found === undefined) return;
      // A cold endpoint recovers from a halved limit up to the cold limit.
      const ceiling = isWarm ? found.warmConcurrency : found.coldConcurrency;
      const value = readCurrent(found);
      current = Math.max(value, Math.min(value + RISE_PER_SUCCESS, ceiling));
    },
    onFailure() {
      const found = limits();
      if (found !== undefined) current = Math.max(1, readCurrent(found) / 2);
    },
    reset() {
      current = undefined;
    },
  };
}
