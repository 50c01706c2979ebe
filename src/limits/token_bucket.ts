/** A token bucket. The clock is a parameter: monotonic milliseconds. */

export interface TokenBucket {
  /** Takes one token if available. */
  take(): boolean;
  /** Time until a token is available; 0 if one is available now. */
  waitMs(): number;
  /** Changes the refill rate; available tokens stay, up to the new burst. */
  setRate(perS: number, burst: number): void;
}

export interface TokenBucketOptions {
  readonly perS: number;
  readonly burst: number;
  readonly nowMs: () => number;
}

export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  const { nowMs } = options;
  let { perS, burst } = options;
  let tokens = burst;
  let filledAtMs = nowMs();

  function refill() {
    const now = nowMs();
    const elapsedMs = Math.max(0, now - filledAtMs);
    tokens = Math.min(burst, tokens + (elapsedMs * perS) / 1000);
    filledAtMs = now;
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
      return tokens >= 1 ? 0 : ((1 - tokens) * 1000) / perS;
    },
    setRate(newPerS, newBurst) {
      refill();
      perS = newPerS;
      burst = newBurst;
      tokens = Math.min(tokens, burst);
    },
  };
}
