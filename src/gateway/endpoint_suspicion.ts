/**
 * Passive health checks: detects failing endpoints from the outcomes of their
 * requests, because their health endpoints can report wrongly either way. A
 * failing endpoint gets no requests during an exponential backoff, which is
 * reset by a success.
 */

const FIRST_PAUSE_MS = 400;
const MAX_PAUSE_MS = 4_000;
/** Weight of the newest outcome in the moving average of failures. */
const SMOOTHING = 0.1;
/**
 * Endpoints fail some requests in normal operation. Backoff starts only above
 * this failure rate.
 */
const SUSPECT_SHARE = 0.5;

export interface EndpointSuspicion {
  isPaused(id: string): boolean;
  /** Moving average of failed requests, from 0 to 1. */
  failureShare(id: string): number;
  /** The endpoint could not be reached or did not respond. */
  onUnreachable(id: string): void;
  onFailure(id: string): void;
  onSuccess(id: string): void;
}

interface Entry {
  failureShare: number;
  pauseMs: number;
  pausedUntilMs: number;
}

export function createEndpointSuspicion(
  nowMs: () => number,
): EndpointSuspicion {
  const entries = new Map<string, Entry>();

  function find(id: string): Entry {
    const found = entries.get(id);
    if (found !== undefined) return found;
    const created = { failureShare: 0, pauseMs: 0, pausedUntilMs: -Infinity };
    entries.set(id, created);
    return created;
  }

  function pause(entry: Entry) {
    const now = nowMs();
    // Requests in flight at the same time fail together and count once.
    if (now < entry.pausedUntilMs) return;
    entry.pauseMs = Math.min(
      MAX_PAUSE_MS,
      Math.max(FIRST_PAUSE_MS, entry.pauseMs * 2),
    );
    entry.pausedUntilMs = now + entry.pauseMs;
  }

  return {
    isPaused: (id) => nowMs() < (entries.get(id)?.pausedUntilMs ?? -Infinity),
    failureShare: (id) => entries.get(id)?.failureShare ?? 0,
    onUnreachable(id) {
      const entry = find(id);
      entry.failureShare += SMOOTHING * (1 - entry.failureShare);
      pause(entry);
    },
    onFailure(id) {
      const entry = find(id);
      entry.failureShare += SMOOTHING * (1 - entry.failureShare);
      if (entry.failureShare > SUSPECT_SHARE) pause(entry);
    },
    onSuccess(id) {
      const entry = entries.get(id);
      if (entry === undefined) return;
      entry.failureShare *= 1 - SMOOTHING;
      if (nowMs() >= entry.pausedUntilMs) entry.pauseMs = 0;
    },
  };
}
