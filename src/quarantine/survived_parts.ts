/** Prompt parts whose requests have lately run without a crash. */

const MAX_PARTS = 4_096;
const SURVIVED_TTL_MS = 10 * 60 * 1_000;

export interface SurvivedParts {
  /** Records a request of this entry. */
  recordRequest(parts: readonly string[]): void;
  /** Records what another entry has seen. */
  record(parts: readonly string[], atMs: number): void;
  /** -Infinity if no request with the part is known to have survived. */
  lastAtMs(part: string): number;
  /** Number of surviving requests of this entry so far. */
  countRequests(): number;
}

export function createSurvivedParts(nowMs: () => number): SurvivedParts {
  // The part that survived longest ago comes first.
  const lastAtMs = new Map<string, number>();
  let requests = 0;

  function removeOldest() {
    [...lastAtMs.keys()]
      .slice(0, lastAtMs.size - MAX_PARTS)
      .forEach((part) => lastAtMs.delete(part));
  }

  function record(parts: readonly string[], atMs: number) {
    parts.forEach((part) => {
      const latestMs = Math.max(atMs, lastAtMs.get(part) ?? -Infinity);
      lastAtMs.delete(part);
      lastAtMs.set(part, latestMs);
    });
    if (lastAtMs.size > MAX_PARTS) removeOldest();
  }

  return {
    recordRequest(parts) {
      requests += 1;
      record(parts, nowMs());
    },
    record,
    lastAtMs(part) {
      const found = lastAtMs.get(part) ?? -Infinity;
      return nowMs() - found > SURVIVED_TTL_MS ? -Infinity : found;
    },
    countRequests: () => requests,
  };
}
