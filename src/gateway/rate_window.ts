/** Counts this entry's requests to each endpoint within the last second. */

const WINDOW_MS = 1_000;

export interface RateWindow {
  /** Requests counted in the last second. */
  recent(key: string): number;
  count(key: string): void;
}

export function createRateWindow(nowMs: () => number): RateWindow {
  const timesByKey = new Map<string, number[]>();

  function listRecent(key: string): number[] {
    const times = timesByKey.get(key) ?? [];
    const now = nowMs();
    const kept = times.filter((time) => now - time < WINDOW_MS);
    if (kept.length > 0) timesByKey.set(key, kept);
    else timesByKey.delete(key);
    return kept;
  }

  return {
    recent: (key) => listRecent(key).length,
    count(key) {
      timesByKey.set(key, [...listRecent(key), nowMs()]);
    },
  };
}
