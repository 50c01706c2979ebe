/**
 * The agents that need the weights of the same model, and the relays among
 * them, which transfer chunks between data centres.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { FleetView, Host } from "../membership/mod.ts";

export interface Member {
  readonly host: Host;
  readonly region: string;
}

/**
 * Enough that the link of a single relay does not limit the data centre, and
 * few enough for a full mesh of all relays in a fleet of 520 hosts in 6 data
 * centres.
 */
const RELAYS_PER_DATA_CENTRE = 8;

/** Live endpoint hosts whose service uses the same model as `service`. */
export function findMembers(
  view: FleetView,
  service: string,
): readonly Member[] {
  const document = view.config()?.document;
  const services = document?.services ?? [];
  const own = services.find((candidate) => candidate.name === service);
  const model = own?.kind === "language" ? own.model : undefined;
  const names = new Set(
    services
      .filter((other) => other.kind === "language" && other.model === model)
      .map((other) => other.name),
  ).add(service);
  const regions = new Map(
    document?.dataCentres.map((dataCentre) => [
      dataCentre.name,
      dataCentre.region,
    ]),
  );
  return view
    .hosts()
    .hosts.filter(
      (host) =>
        host.role === "endpoint" &&
        host.state === "live" &&
        host.service !== undefined &&
        names.has(host.service),
    )
    .map((host) => ({
      host,
      region: regions.get(host.dataCentre) ?? host.dataCentre,
    }));
}

/** Chooses the members that fetch chunks from outside their data centre. */
export function chooseRelays(members: readonly Member[]): readonly Member[] {
  return [...groupBy(members, (member) => member.host.dataCentre)].flatMap(
    ([dataCentre, local]) => {
      if (local.length <= RELAYS_PER_DATA_CENTRE) return local;
      const ranked = rankByHash(
        `weight-gateways/${dataCentre}`,
        local.map((member) => member.host.name),
      );
      const chosen = new Set(ranked.slice(0, RELAYS_PER_DATA_CENTRE));
      return local.filter((member) => chosen.has(member.host.name));
    },
  );
}

export function groupBy<T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>();
  items.forEach((item) => {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  });
  return groups;
}
