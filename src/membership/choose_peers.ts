/**
 * Chooses the hosts that read the platform for the others, and the hosts that
 * exchange versions with each other. Both depend on the host list alone, so no
 * election is needed.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { Host } from "./host.ts";

const WATCHERS_PER_DATA_CENTRE = 3;
const NEIGHBOUR_COUNT = 4;
/**
 * Neighbours in the same data centre. If all four were spread over the fleet,
 * the hosts of a partitioned data centre would hardly be connected to each
 * other.
 */
const LOCAL_NEIGHBOUR_COUNT = 2;

export interface LocalHost {
  readonly host: string;
  readonly dataCentre: string;
}

/**
 * Names of the hosts of this process's data centre that read the platform for
 * the others, in order of preference.
 */
export function chooseWatchers(
  self: LocalHost,
  hosts: readonly Host[],
  count = WATCHERS_PER_DATA_CENTRE,
): readonly string[] {
  const names = hosts
    .filter((h) => h.dataCentre === self.dataCentre && h.state === "live")
    .map((h) => h.name);
  // The local host may not be in the list yet.
  const candidates = new Set([...names, self.host]);
  return rankByHash(self.dataCentre, [...candidates]).slice(0, count);
}

/** The hosts that this process exchanges versions with. */
export function chooseNeighbours(
  self: LocalHost,
  hosts: readonly Host[],
): readonly Host[] {
  const byName = new Map(
    hosts
      .filter((h) => h.state === "live" && h.name !== self.host)
      .map((h) => [h.name, h]),
  );
  const ranked = rankByHash(self.host, [...byName.keys()]).map((name) =>
    byName.get(name)!,
  );
  const local = ranked.filter((h) => h.dataCentre === self.dataCentre);
  const remote = ranked.filter((h) => h.dataCentre !== self.dataCentre);
  const chosen = [
    ...local.slice(0, LOCAL_NEIGHBOUR_COUNT),
    ...remote.slice(0, NEIGHBOUR_COUNT - LOCAL_NEIGHBOUR_COUNT),
  ];
  const others = ranked.filter((h) => !chosen.includes(h));
  return [...chosen, ...others.slice(0, NEIGHBOUR_COUNT - chosen.length)];
}
