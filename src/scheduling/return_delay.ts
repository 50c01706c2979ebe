/**
 * The time after which a refused caller should come back. Callers are spread,
 * so that they do not fill the endpoints again in the same moment.
 */

/** Without a pause: another entry or endpoint may accept the call. */
export const DEFAULT_RETRY_DELAY_MS = 300;
/** Jitter as a share of the retry delay, so that callers retry spread out. */
const RETRY_JITTER_SHARE = 0.5;
/** After a pause that is shorter than the usual retry delay. */
const MIN_SPREAD_MS = 300;
/** Clients honour Retry-After up to this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;

export interface ReturnDelay {
  readonly retryAfterMs: number;
  /** The caller's delay is longer by a random part of this. */
  readonly spreadMs: number;
}

export function spreadDelay(retryAfterMs: number): ReturnDelay {
  return { retryAfterMs, spreadMs: retryAfterMs * RETRY_JITTER_SHARE };
}

export function computeReturnDelay(options: {
  /** What is left of the pause, and its whole length. */
  readonly pausedMs: number;
  readonly pauseLengthMs: number;
  /** Time that the caller has left. */
  readonly callerWaitMs: number;
}): ReturnDelay {
  const { pausedMs, pauseLengthMs, callerWaitMs } = options;
  const maxWaitMs = callerWaitMs * MAX_WAIT_SHARE;
  if (pausedMs < maxWaitMs) {
    // By the whole length, since callers that are refused late in the pause
    // come back together with those that were refused early.
    const spreadMs = Math.max(
      pauseLengthMs * RETRY_JITTER_SHARE,
      MIN_SPREAD_MS,
    );
    return {
      retryAfterMs: pausedMs,
      spreadMs: Math.min(spreadMs, maxWaitMs - pausedMs),
    };
  }
  // The caller comes back sooner in any case, and its next entry may be free.
  return spreadDelay(maxWaitMs / (1 + RETRY_JITTER_SHARE));
}
