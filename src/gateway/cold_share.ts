/**
 * This entry's share of the request rate limit of a cold endpoint. Entries do
 * not see each other's requests, and an endpoint can become cold at any time,
 * so each entry always keeps to an equal share of the limit.
 */

const WINDOW_MS = 1_000;

export interface ColdShareOptions {
  /** Requests per second that a cold endpoint can handle. */
  readonly requestsPerS: number;
  /** The limit of all entries is `requestsPerS` times this plus `slack`. */
  readonly overageFactor: number;
  readonly slack: number;
  readonly entries: number;
}

export function computeColdShare(options: ColdShareOptions): number {
  const { requestsPerS, overageFactor, slack, entries } = options;
  if (requestsPerS <= 0) return Infinity;
  const bound = requestsPerS * overageFactor + slack;
  return Math.max(1, Math.floor(bound / Math.max(1, entries)));
}

export interface RateWindow {
  /** True if fewer than `limit` requests were counted in the last second. */
  isBelowLimit(key: string, limit: number): boolean;
  count(key: string): void;
}

export function createRateWindow(nowMs: () => number): RateWindow {
  const timesByKey = new Map<string, number[]>();

  function listRecent(key: string): number[] {
    const times = timesByKey.get(key) ?? [];
    const now = nowMs();
    const kept = times.filter((time) => now - time < WINDOW_MS);
    timesByKey.set(key, kept);
    return kept;
  }

  return {
    isBelowLimit: (key, limit) =>
      limit === Infinity || listRecent(key).length < limit,
    count: (key) => void listRecent(key).push(nowMs()),
  };
}
