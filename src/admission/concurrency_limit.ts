/**
 * The number of requests that an endpoint may run concurrently: the cold limit
 * after each restart, then a gradual increase to the warm limit.
 */

import type { AdmissionLimits } from "../document/mod.ts";

/** After as many successes as the limit, it has grown by about half. */
const INCREASE_PER_SUCCESS = 0.5;

export interface ConcurrencyLimit {
  /** Whole number of slots; never below 1 while limits are configured. */
  read(isWarm: boolean): number;
  onSuccess(isWarm: boolean): void;
  onFailure(): void;
  /** Resets to the cold limit. */
  reset(): void;
}

export function createConcurrencyLimit(
  limits: () => AdmissionLimits | undefined,
): ConcurrencyLimit {
  // Undefined means the cold limit, which may change with the document.
  let current: number | undefined;

  function clampCurrent({ coldConcurrency, warmConcurrency }: AdmissionLimits) {
    return Math.max(1, Math.min(current ?? coldConcurrency, warmConcurrency));
  }

  return {
    read(isWarm) {
      const found = limits();
      if (found === undefined) return 0;
      const allowed = Math.floor(clampCurrent(found));
      return isWarm ? allowed : Math.min(allowed, found.coldConcurrency);
    },
    onSuccess(isWarm) {
      const found = limits();
      if (found === undefined) return;
      // After a failure, a cold endpoint recovers only up to the cold limit.
      const ceiling = isWarm ? found.warmConcurrency : found.coldConcurrency;
      const value = clampCurrent(found);
      current = Math.max(
        value,
        Math.min(value + INCREASE_PER_SUCCESS, ceiling),
      );
    },
    onFailure() {
      const found = limits();
      if (found !== undefined) current = Math.max(1, clampCurrent(found) / 2);
    },
    reset() {
      current = undefined;
    },
  };
}
