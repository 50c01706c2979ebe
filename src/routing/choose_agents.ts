/**
 * Chooses the agents that one entry stays connected to: all agents of a
 * service while there are few, otherwise a bounded subset. The subsets of all
 * entries together cover each agent about equally often. Runners of
 * non-repeatable calls are always included, because no other host can replace
 * them.
 */

import type { FleetView, Host } from "../membership/mod.ts";
import { rankByHash } from "../hashing/mod.ts";

export const MAX_AGENTS_PER_SERVICE = 32;

export interface AgentChoiceOptions {
  /** Host name of this entry. */
  readonly entry: string;
  /** True while requests of this entry are in flight on this host. */
  readonly isInUse: (hostName: string) => boolean;
}

export function chooseAgents(
  view: FleetView,
  options: AgentChoiceOptions,
): readonly Host[] {
  const { hosts } = view.hosts();
  const services = view.config()?.document.services ?? [];
  const entries = hosts
    .filter((host) => host.role === "entry" && host.state === "live")
    .map((host) => host.name);
  const names = [...new Set([...entries, options.entry])].sort();
  const entryIndex = names.indexOf(options.entry);
  return services.flatMap((service) => {
    const agents = hosts.filter(
      (host) => host.role === "endpoint" && host.service === service.name,
    );
    if (agents.length <= MAX_AGENTS_PER_SERVICE) return agents;
    const ranked = rankLiveAgents(hosts, service.name);
    const chosen = new Set(
      listPositions(ranked.length, {
        entryIndex,
        entries: names.length,
      }).map((position) => ranked[position]!),
    );
    const runners = new Set(
      service.kind === "plain"
        ? service.runnerSets.flatMap((set) => set.runners)
        : [],
    );
    return agents.filter(
      ({ name }) =>
        chosen.has(name) || runners.has(name) || options.isInUse(name),
    );
  });
}

/**
 * Cached rankings by host list and service. The configuration changes far more
 * often than the host list, and computing thousands of hashes each time would
 * cost milliseconds.
 */
const rankingsByHosts = new WeakMap<
  readonly Host[],
  Map<string, readonly string[]>
>();

function rankLiveAgents(
  hosts: readonly Host[],
  service: string,
): readonly string[] {
  const rankings =
    rankingsByHosts.get(hosts) ?? new Map<string, readonly string[]>();
  rankingsByHosts.set(hosts, rankings);
  const found = rankings.get(service);
  if (found !== undefined) return found;
  const live = hosts.filter(
    (host) => host.service === service && host.state === "live",
  );
  const ranked = rankByHash(
    service,
    live.map((host) => host.name),
  );
  rankings.set(service, ranked);
  return ranked;
}

/**
 * Slot k of entry i is number `i + k * entries` of all slots, and all slots
 * are spread evenly over the agents. The positions of one entry are therefore
 * far apart, and the numbers of entries for each agent differ by at most one.
 */
function listPositions(
  agents: number,
  {
    entryIndex,
    entries,
  }: { readonly entryIndex: number; readonly entries: number },
): readonly number[] {
  const slots = Math.min(MAX_AGENTS_PER_SERVICE, agents);
  return Array.from({ length: slots }, (_, k) =>
    Math.floor(((entryIndex + k * entries) * agents) / (slots * entries)),
  );
}
