/** Limits the byte rate of a link that several senders share. */

export interface RateLimiter {
  /** Resolves when the link has had time to transmit `bytes`. */
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
