/**
 * Which hosts read the platform for the others, and which hosts exchange
 * versions with each other. Both follow from the host list alone, so nothing
 * is voted on.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { Host } from "./host.ts";

const WATCHERS_PER_DATA_CENTRE = 3;
const NEIGHBOURS = 4;
/**
 * Neighbours in the own data centre. With all four spread over the fleet, a
 * data centre that is cut off would hardly be connected in itself.
 */
const LOCAL_NEIGHBOURS = 2;

export interface Self {
  readonly host: string;
  readonly dataCentre: string;
}

/** True if this process is one of its data centre's watchers. */
export function isWatcher(self: Self, hosts: readonly Host[]): boolean {
  const names = hosts
    .filter((h) => h.dataCentre === self.dataCentre && h.state === "live")
    .map((h) => h.name);
  // A host that the list doesn't show yet ranks itself among the others.
  const candidates = new Set([...names, self.host]);
  return rankByHash(self.dataCentre, [...candidates])
    .slice(0, WATCHERS_PER_DATA_CENTRE)
    .includes(self.host);
}

/** The hosts that this process exchanges versions with. */
export function chooseNeighbours(
  self: Self,
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
    ...local.slice(0, LOCAL_NEIGHBOURS),
    ...remote.slice(0, NEIGHBOURS - LOCAL_NEIGHBOURS),
  ];
  const others = ranked.filter((h) => !chosen.includes(h));
  return [...chosen, ...others.slice(0, NEIGHBOURS - chosen.length)];
}
