/** Paces bytes at a fixed rate over all users of one link. */

export interface RateLimiter {
  /** Resolves when `bytes` have had their time on the link. */
  take(bytes: number): Promise<void>;
  setRate(mbitPerS: number): void;
}

export function createRateLimiter(mbitPerS: number): RateLimiter {
  let bytesPerMs = toBytesPerMs(mbitPerS);
  let freeAtMs = 0;
  return {
    take(bytes) {
      const nowMs = performance.now();
      freeAtMs = Math.max(freeAtMs, nowMs) + bytes / bytesPerMs;
      const waitMs = freeAtMs - nowMs;
      return new Promise((resolve) => setTimeout(resolve, waitMs));
    },
    setRate(rate) {
      bytesPerMs = toBytesPerMs(rate);
    },
  };
}

function toBytesPerMs(mbitPerS: number): number {
  return (mbitPerS * 1_000_000) / 8 / 1_000;
}
