/**
 * An entry's part of the endpoints' cold limit: what the agents share and lend,
 * and a part of the reserve at endpoints whose agents it has no contact to.
 */

import { createRateLimits } from "../../src/gateway/rate_limits.ts";
import type { RateLimits } from "../../src/gateway/rate_limits.ts";
import { createRateWindow } from "../../src/gateway/rate_window.ts";
import { computeSeed, scorePair } from "../../src/hashing/mod.ts";
import { splitColdLimit } from "../../src/limits/mod.ts";
import type { Deployment } from "./deployments.ts";
import type { SimulatedEndpoint } from "./endpoints.ts";
import { computeColdLimitPerS } from "./published_state.ts";

export interface ColdShares {
  /** For the reports and grants of agents. */
  readonly rateLimits: RateLimits;
  hasCapacity(endpoint: SimulatedEndpoint): boolean;
  isReachable(endpoint: SimulatedEndpoint): boolean;
  count(endpoint: SimulatedEndpoint): void;
}

export interface ColdSharesOptions {
  readonly deployment: Deployment;
  readonly nowMs: () => number;
  readonly name: string;
  /** As returned by `computeReserves`. */
  readonly reserves: Reserves;
}

/** The entry's part of each endpoint's reserve, by the entry's name. */
export type Reserves = readonly ReadonlyMap<string, number>[];

export function createColdShares(options: ColdSharesOptions): ColdShares {
  const { deployment, nowMs, name, reserves } = options;
  const coldLimitPerS = computeColdLimitPerS(deployment);
  const window = createRateWindow(nowMs);
  // Without a list of entries, the limits contain no part of a reserve. Each
  // entry would compute its parts from all names, which takes longer than a run.
  const rateLimits = createRateLimits({
    nowMs,
    ownHost: name,
    listEntryHosts: () => undefined,
  });

  function isLimited({ service }: SimulatedEndpoint): boolean {
    return service === "model";
  }

  function readReserve({ index }: SimulatedEndpoint): number {
    return reserves[index]?.get(name) ?? 0;
  }

  function isInContact({ listed }: SimulatedEndpoint): boolean {
    return rateLimits.isReachable(listed, coldLimitPerS);
  }

  return {
    rateLimits,
    hasCapacity(endpoint) {
      if (!isLimited(endpoint)) return true;
      const { listed } = endpoint;
      return isInContact(endpoint)
        ? rateLimits.countFree(listed, coldLimitPerS) >= 1
        : readReserve(endpoint) - window.recent(listed.id) >= 1;
    },
    isReachable: (endpoint) =>
      !isLimited(endpoint) ||
      isInContact(endpoint) ||
      readReserve(endpoint) > 0,
    count(endpoint) {
      if (!isLimited(endpoint)) return;
      if (isInContact(endpoint)) {
        rateLimits.count(endpoint.listed, coldLimitPerS);
      } else {
        window.count(endpoint.listed.id);
      }
    },
  };
}

/** By rank among all entries, as `computeReserveShare` does for one of them. */
export function computeReserves(
  deployment: Deployment,
  endpoints: readonly SimulatedEndpoint[],
  entryNames: readonly string[],
): Reserves {
  const { reservePerS } = splitColdLimit(computeColdLimitPerS(deployment), 0);
  const even = Math.floor(reservePerS / entryNames.length);
  const seeds = entryNames.map((name) => ({ name, seed: computeSeed(name) }));
  return endpoints.map(({ listed }) => {
    const endpointSeed = computeSeed(listed.id);
    const ranked = seeds
      .map(({ name, seed }) => ({ name, score: scorePair(endpointSeed, seed) }))
      .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
    const extra = reservePerS % entryNames.length;
    return new Map(
      ranked
        .slice(0, even > 0 ? undefined : extra)
        .map(({ name }, rank) => [name, even + (rank < extra ? 1 : 0)]),
    );
  });
}
