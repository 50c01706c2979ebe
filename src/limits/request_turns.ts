/**
 * Turns in which single entries may send one request each to an endpoint that
 * names a request limit, without asking anybody. The time of day is divided into
 * turns by the rate, and rendezvous hashing names one entry for each: two
 * entries that know different members agree on most turns, and an entry whose
 * clock is wrong takes part at the same rate.
 */

import { computeSeed, scorePair } from "../hashing/mod.ts";

export interface RequestTurn {
  readonly index: number;
  /** Time until the turn ends. */
  readonly remainingMs: number;
}

export function findTurn(ratePerS: number, wallMs: number): RequestTurn {
  const lengthMs = 1_000 / ratePerS;
  const index = Math.floor(wallMs / lengthMs);
  return { index, remainingMs: (index + 1) * lengthMs - wallMs };
}

export function isOwnTurn(options: {
  readonly endpoint: string;
  readonly index: number;
  readonly ownHost: string;
  readonly otherHosts: readonly string[];
}): boolean {
  const { endpoint, index, ownHost, otherHosts } = options;
  // The index has more than 32 bits at high rates, of which the low ones count.
  const seed = scorePair(computeSeed(endpoint), index % 2 ** 32);
  const score = (host: string) => scorePair(seed, computeSeed(host));
  const own = score(ownHost);
  return otherHosts.every((host) => {
    const other = score(host);
    return other < own || (other === own && host > ownHost);
  });
}
