/** A token bucket. The clock is a parameter: monotonic milliseconds. */

export interface TokenBucket {
  /** Takes one token if available. */
  take(): boolean;
  /** Time until a token is available; 0 if one is available now. */
  waitMs(): number;
  /** Changes the refill rate; available tokens stay, up to the new burst. */
  setRate(ratePerS: number, burst: number): void;
}

export interface TokenBucketOptions {
  readonly ratePerS: number;
  readonly burst: number;
  readonly nowMs: () => number;
}

export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  const { nowMs } = options;
  let { ratePerS, burst } = options;
  let tokens = burst;
  let refilledAtMs = nowMs();

  function refill() {
    const now = nowMs();
    const elapsedMs = Math.max(0, now - refilledAtMs);
    tokens = Math.min(burst, tokens + (elapsedMs * ratePerS) / 1000);
    refilledAtMs = now;
  }

  return {
    take() {
      refill();
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
    waitMs() {
      refill();
      return tokens >= 1 ? 0 : ((1 - tokens) * 1000) / ratePerS;
    },
    setRate(newRatePerS, newBurst) {
      refill();
      ratePerS = newRatePerS;
      burst = newBurst;
      tokens = Math.min(tokens, burst);
    },
  };
}
