/**
 * The order in which requests of one service take capacity while there is too
 * little for all. The priority of the client account decides first, and that of
 * the route among requests of equal accounts; without an account's priority the
 * route's stands in its place.
 */

import type {
  AccountRecord,
  CallRoute,
  RoutingConfig,
} from "../directory/mod.ts";

export interface Urgency {
  /** From 0, the most urgent. */
  readonly rank: number;
  /** Ranks of the service; with a single one the order has no effect. */
  readonly rankCount: number;
}

export interface UrgencyRanks {
  find(
    service: string,
    route: CallRoute,
    account: Pick<AccountRecord, "priority"> | undefined,
  ): Urgency;
}

/** Values of `Request-Priority`, from 0, the first. */
export const PRIORITY_LEVELS = 10;

const SINGLE_RANK: Urgency = { rank: 0, rankCount: 1 };

interface PriorityPair {
  readonly first: number;
  readonly second: number;
}

/** Numbers the pairs of priorities that the configuration allows. */
export function createUrgencyRanks(
  config: Pick<RoutingConfig, "routes" | "accounts">,
): UrgencyRanks {
  const accountPriorities = new Set(
    config.accounts?.map(({ priority }) => priority),
  );
  const pairsByService = new Map<string, Map<string, PriorityPair>>();
  config.routes.forEach((route) => {
    const priorities =
      config.accounts === undefined || route.isAnonymous
        ? [undefined]
        : [...accountPriorities];
    const pairs = priorities.map((priority) =>
      createPair(route, priority === undefined ? undefined : { priority }),
    );
    route.services.forEach(({ service }) => {
      const known = pairsByService.get(service) ?? new Map();
      pairs.forEach((pair) => known.set(describePair(pair), pair));
      pairsByService.set(service, known);
    });
  });
  const ranksByService = new Map(
    [...pairsByService].map(([service, pairs]) => [
      service,
      new Map(
        [...pairs.values()]
          .sort((a, b) => a.first - b.first || a.second - b.second)
          .map((pair, rank) => [describePair(pair), rank]),
      ),
    ]),
  );
  return {
    find(service, route, account) {
      const ranks = ranksByService.get(service);
      const rank = ranks?.get(describePair(createPair(route, account)));
      return ranks === undefined || rank === undefined
        ? SINGLE_RANK
        : { rank, rankCount: ranks.size };
    },
  };
}

/**
 * The `Request-Priority` of a request; undefined if the service has a single
 * rank. Ranks are kept apart first. The levels that are left separate late
 * requests from those on time, for the least urgent ranks first, since most late
 * requests are theirs: with six ranks the values are 0, 1, 2 or 3, 4 or 5, 6 or
 * 7, 8 or 9. With more ranks than levels, neighbouring ranks share one.
 */
export function computeRequestPriority(
  { rank, rankCount }: Urgency,
  isLate: boolean,
): number | undefined {
  if (rankCount <= 1) return undefined;
  if (rankCount > PRIORITY_LEVELS) {
    return Math.floor((rank * PRIORITY_LEVELS) / rankCount);
  }
  const firstSplitRank = Math.max(0, 2 * rankCount - PRIORITY_LEVELS);
  const splitBefore = Math.max(0, rank - firstSplitRank);
  const lateStep = isLate && rank >= firstSplitRank ? 1 : 0;
  return rank + splitBefore + lateStep;
}

function createPair(
  route: Pick<CallRoute, "priority">,
  account: Pick<AccountRecord, "priority"> | undefined,
): PriorityPair {
  return {
    first: account?.priority ?? route.priority,
    second: route.priority,
  };
}

function describePair({ first, second }: PriorityPair): string {
  return `${first} ${second}`;
}
