/** Finds the route and the client account of a request. */

import type {
  AccountRecord,
  CallRoute,
  RoutingConfig,
} from "../directory/mod.ts";
import { createUrgencyRanks } from "../scheduling/mod.ts";
import type { UrgencyRanks } from "../scheduling/mod.ts";

export interface RouteTable {
  readonly config: RoutingConfig;
  /** Finds the route of this host with the longest matching path prefix. */
  findRoute(host: string, path: string): CallRoute | undefined;
  findAccount(apiKey: string): AccountRecord | undefined;
  readonly urgencyRanks: UrgencyRanks;
}

export function createRouteTable(config: RoutingConfig): RouteTable {
  const byHost = new Map<string, CallRoute[]>();
  config.routes.forEach((route) => {
    const routes = byHost.get(route.host);
    if (routes === undefined) byHost.set(route.host, [route]);
    else routes.push(route);
  });
  byHost.forEach((routes) =>
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
  );
  const accounts = new Map(
    (config.accounts ?? []).flatMap((account) =>
      account.apiKeys.map((key) => [key, account] as const),
    ),
  );
  return {
    config,
    findRoute: (host, path) =>
      byHost.get(host)?.find((route) => path.startsWith(route.pathPrefix)),
    findAccount: (apiKey) => accounts.get(apiKey),
    urgencyRanks: createUrgencyRanks(config),
  };
}

/** Removes the port of a Host header and converts it to lower case. */
export function normaliseHost(header: string | undefined): string {
  return (header ?? "").toLowerCase().replace(/:\d+$/, "");
}

/** Removes the query from a request target. */
export function removeQuery(target: string): string {
  const queryStart = target.indexOf("?");
  return queryStart < 0 ? target : target.slice(0, queryStart);
}

/** Chooses one of the route's services by weight; `point` is in [0, 1). */
export function chooseService(
  route: CallRoute,
  point: number,
): string | undefined {
  const total = route.services.reduce((sum, share) => sum + share.weight, 0);
  let remaining = point * total;
  return (
    route.services.find((share) => {
      remaining -= share.weight;
      return remaining < 0;
    }) ?? route.services.at(-1)
  )?.service;
}
