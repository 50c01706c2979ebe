/**
 * Lends permits to send requests to an endpoint that names a request limit.
 * Entries do not see each other's requests, and a share of a limit of a few
 * requests a second is less than one request, so the agent beside the endpoint
 * counts for all of them. Each permit is for one request and expires, so what an
 * entry does not use is lost.
 */

import { createTokenBucket } from "./token_bucket.ts";

/**
 * Part of the named rate that is lent. The rest is for entries without contact
 * to the agent, which send in turns.
 */
const LENT_PART = 0.85;
/** An entry may use a permit for so long after it has asked for it. */
export const PERMIT_VALID_MS = 1_500;
/** An ask is served for so long; the entry then asks again. */
const ASK_VALID_MS = 750;
/** Rate for as long as permits may be saved up. */
const MAX_SAVED_S = 0.5;
/**
 * A lower rate would let no request through from which the end of the limit
 * could be heard. The rules of the platform allow five requests at any time.
 */
export const MIN_RATE_PER_S = 0.2;

export interface PermitAsk {
  readonly entry: string;
  readonly askId: number;
  readonly count: number;
}

export interface PermitGrant {
  readonly entry: string;
  readonly askId: number;
  readonly count: number;
}

export interface PermitLender {
  /** Requests per second that the endpoint takes; Infinity for no limit. */
  setLimit(ratePerS: number): void;
  /** Replaces a former ask of the entry that is not served completely. */
  ask(ask: PermitAsk): void;
  /** Grants the permits that are free now. */
  grant(): readonly PermitGrant[];
  /** Time until a permit is free for an ask that waits; undefined if none. */
  findDelayMs(): number | undefined;
}

interface WaitingAsk {
  readonly entry: string;
  readonly askId: number;
  readonly remaining: number;
  readonly askedAtMs: number;
}

export function createPermitLender(nowMs: () => number): PermitLender {
  /** Permits lent by a former process of the agent have expired by then. */
  const firstGrantAtMs = nowMs() + PERMIT_VALID_MS;
  const bucket = createTokenBucket({ ratePerS: 0, burst: 0, nowMs });
  let limitPerS = Infinity;
  let waiting: readonly WaitingAsk[] = [];

  function dropExpired() {
    const now = nowMs();
    waiting = waiting.filter(({ askedAtMs }) => now - askedAtMs < ASK_VALID_MS);
  }

  /** Gives one permit to each entry in turn. */
  function grantNext(): WaitingAsk | undefined {
    const [first, ...others] = waiting;
    if (first === undefined || !bucket.take()) return undefined;
    const remaining = first.remaining - 1;
    waiting = remaining > 0 ? [...others, { ...first, remaining }] : others;
    return first;
  }

  return {
    setLimit(ratePerS) {
      if (ratePerS === limitPerS) return;
      limitPerS = ratePerS;
      if (ratePerS === Infinity) {
        waiting = [];
        return bucket.setRate(0, 0);
      }
      const lentPerS = Math.max(ratePerS, MIN_RATE_PER_S) * LENT_PART;
      bucket.setRate(lentPerS, Math.max(1, lentPerS * MAX_SAVED_S));
    },
    ask({ entry, askId, count }) {
      const others = waiting.filter((item) => item.entry !== entry);
      const former = waiting.find((item) => item.entry === entry);
      const next = { entry, askId, remaining: count, askedAtMs: nowMs() };
      // An entry that asks again keeps its place.
      waiting =
        former === undefined
          ? [...others, next]
          : waiting.map((item) => (item === former ? next : item));
    },
    grant() {
      if (limitPerS === Infinity || nowMs() < firstGrantAtMs) return [];
      dropExpired();
      const counts = new Map<string, PermitGrant>();
      for (let next = grantNext(); next; next = grantNext()) {
        const { entry, askId } = next;
        const count = (counts.get(entry)?.count ?? 0) + 1;
        counts.set(entry, { entry, askId, count });
      }
      return [...counts.values()];
    },
    findDelayMs() {
      dropExpired();
      if (limitPerS === Infinity || waiting.length === 0) return undefined;
      return Math.max(bucket.waitMs(), firstGrantAtMs - nowMs());
    },
  };
}
