/**
 * Splits the request rate that an endpoint can handle while it is cold among
 * the entries. An endpoint can turn cold at any moment, so the limit always
 * applies, and entries do not see each other's requests. The parts add up to at
 * most the limit by construction:
 *
 * - a reserve for entries without contact to the agent, by rank among all
 *   entries;
 * - the same share for each entry that uses the endpoint, told by the agent;
 * - a pool from which the agent lends to entries that need more for a while.
 */

import { computeSeed, scorePair } from "../hashing/mod.ts";

/** Part of the limit for entries that have no contact to the agent. */
const RESERVE_PART = 0.25;
/** Part of the remainder that is divided evenly; the agent lends the rest. */
const SHARED_PART = 0.75;

export interface ColdLimitParts {
  /** Requests per second for all entries without contact together. */
  readonly reservePerS: number;
  /** Requests per second for each entry that uses the endpoint. */
  readonly sharePerS: number;
  /** Requests per second that the agent may lend. */
  readonly poolPerS: number;
}

/** `limitPerS` is the bound for all entries together. */
export function splitColdLimit(
  limitPerS: number,
  partnerCount: number,
): ColdLimitParts {
  const limit = Math.floor(limitPerS);
  const reservePerS = Math.floor(limit * RESERVE_PART);
  const remainder = limit - reservePerS;
  const sharePerS =
    partnerCount === 0
      ? 0
      : Math.floor((remainder * SHARED_PART) / partnerCount);
  return {
    reservePerS,
    sharePerS,
    poolPerS: remainder - sharePerS * partnerCount,
  };
}

export interface ReserveShareOptions {
  readonly reservePerS: number;
  readonly endpointId: string;
  readonly ownHost: string;
  /** All entries including this one. */
  readonly entryHosts: readonly string[];
}

/**
 * This entry's part of the reserve. With more entries than units some get
 * none; which ones differs from endpoint to endpoint.
 */
export function computeReserveShare(options: ReserveShareOptions): number {
  const { reservePerS, endpointId, ownHost, entryHosts } = options;
  const count = entryHosts.length;
  const even = Math.floor(reservePerS / count);
  const seed = computeSeed(endpointId);
  const score = (host: string) => scorePair(seed, computeSeed(host));
  const own = score(ownHost);
  const rank = entryHosts.filter((host) => {
    const other = score(host);
    return other > own || (other === own && host < ownHost);
  }).length;
  return even + (rank < reservePerS % count ? 1 : 0);
}
