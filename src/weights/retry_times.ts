/** Time of the next request to each source after refusals and failures. */

const FIRST_BACKOFF_MS = 250;

export interface RetryTimes {
  readyAtMs(name: string): number;
  /** Delays by the time that the source requested, plus up to 50 % jitter. */
  defer(name: string, delayMs: number): void;
  /**
   * Exponential backoff with jitter. Failures during a backoff are of requests
   * that were already in flight and do not extend it.
   */
  backOff(name: string): void;
  recordSuccess(name: string): void;
  /** Failures since the last success, without those during a backoff. */
  countFailures(name: string): number;
}

export function createRetryTimes(options: {
  readonly nowMs: () => number;
  readonly random: () => number;
  readonly maxBackoffMs: number;
}): RetryTimes {
  const { nowMs, random, maxBackoffMs } = options;
  const readyAt = new Map<string, number>();
  const failures = new Map<string, number>();

  function postpone(name: string, delayMs: number) {
    const time = nowMs() + delayMs;
    readyAt.set(name, Math.max(time, readyAt.get(name) ?? 0));
  }

  return {
    readyAtMs: (name) => readyAt.get(name) ?? 0,
    defer: (name, delayMs) => postpone(name, delayMs * (1 + random() / 2)),
    backOff(name) {
      if ((readyAt.get(name) ?? 0) > nowMs()) return;
      const count = failures.get(name) ?? 0;
      failures.set(name, count + 1);
      const backoffMs = Math.min(maxBackoffMs, FIRST_BACKOFF_MS * 2 ** count);
      postpone(name, backoffMs * (0.5 + random() / 2));
    },
    countFailures: (name) => failures.get(name) ?? 0,
    recordSuccess: (name) => void failures.delete(name),
  };
}
