/** Exponential backoff with full jitter. */

export interface Backoff {
  /** Random delay between 0 and a limit that doubles with each call. */
  nextMs(): number;
  reset(): void;
}

export interface BackoffOptions {
  readonly firstMs: number;
  readonly maxMs: number;
}

export function createBackoff(options: BackoffOptions): Backoff {
  const { firstMs, maxMs } = options;
  let limitMs = firstMs;
  return {
    nextMs() {
      const delayMs = Math.random() * limitMs;
      limitMs = Math.min(limitMs * 2, maxMs);
      return delayMs;
    },
    reset() {
      limitMs = firstMs;
    },
  };
}
