/**
 * Shares of the urgencies in the requests that this entry has sent lately. They
 * stand for the requests of other entries, whose urgency is not known: the load
 * balancer spreads callers over the entries.
 */

/** Requests lose half of their weight in this time. */
const HALF_LIFE_MS = 2_000;
/** Urgencies beyond this count as this one. */
const MAX_URGENCY = 63;

/** Shares of the requests that are more and less urgent than one. */
export interface SharesAround {
  readonly before: number;
  readonly after: number;
}

export interface UrgencyShares {
  count(urgency: number): void;
  /** Shares of 0 without recent requests. */
  read(urgency: number): SharesAround;
}

export function createUrgencyShares(nowMs: () => number): UrgencyShares {
  let weights: readonly number[] = [];
  let weightsAtMs = nowMs();
  /** By urgency, until the next request is counted. */
  let shares: SharesAround[] = [];

  function computeShares(urgency: number): SharesAround {
    const sum = (items: readonly number[]) => items.reduce((a, b) => a + b, 0);
    const all = sum(weights);
    if (all === 0) return { before: 0, after: 0 };
    return {
      before: sum(weights.slice(0, urgency)) / all,
      after: sum(weights.slice(urgency + 1)) / all,
    };
  }

  return {
    count(urgency) {
      const now = nowMs();
      const kept = 0.5 ** ((now - weightsAtMs) / HALF_LIFE_MS);
      const index = Math.min(urgency, MAX_URGENCY);
      const length = Math.max(weights.length, index + 1);
      weights = Array.from(
        { length },
        (_, at) => (weights[at] ?? 0) * kept + (at === index ? 1 : 0),
      );
      weightsAtMs = now;
      shares = [];
    },
    read(urgency) {
      const index = Math.min(urgency, MAX_URGENCY);
      return (shares[index] ??= computeShares(index));
    },
  };
}
