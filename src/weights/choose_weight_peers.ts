/**
 * Chooses the agents with which an agent exchanges weights. A small fleet is a
 * full mesh. In a large fleet the relays of all data centres form a full mesh,
 * and the agents of a large data centre form a ring with additional links at
 * power-of-two distances, whose diameter grows with the logarithm of its size.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { FleetView, Host } from "../membership/mod.ts";
import { chooseRelays, findMembers } from "./members.ts";
import type { Member } from "./members.ts";

/** Up to this fleet size the `have` notices of a full mesh cost little. */
const MAX_FULL_MESH_AGENTS = 24;
/**
 * Up to this size all agents of a data centre are connected to each other,
 * because during a roll-out each waits for the endpoint states of the others.
 */
const MAX_DATA_CENTRE_MESH_AGENTS = 32;
/** Two, so that the loss of one relay does not disconnect an agent. */
const RELAYS_PER_AGENT = 2;

export interface LocalAgent {
  readonly host: string;
  readonly service: string;
}

export function chooseWeightPeers(
  view: FleetView,
  localAgent: LocalAgent,
): readonly Host[] {
  const services = view.config()?.document.services ?? [];
  const isPlainService = services.some(
    (other) => other.name === localAgent.service && other.kind === "plain",
  );
  if (isPlainService) return [];
  const members = findMembers(view, localAgent.service);
  const others = members.filter(
    (member) => member.host.name !== localAgent.host,
  );
  const own = members.find((member) => member.host.name === localAgent.host);
  if (own === undefined || members.length <= MAX_FULL_MESH_AGENTS) {
    return others.slice(0, MAX_FULL_MESH_AGENTS).map((member) => member.host);
  }
  const dataCentre = own.host.dataCentre;
  const local = members.filter((other) => other.host.dataCentre === dataCentre);
  const relays = chooseRelays(members);
  const chosen = new Set([
    ...chooseRingPeers(local, localAgent.host),
    ...(relays.includes(own)
      ? relays.map((relay) => relay.host.name)
      : chooseLocalRelays(relays, own)),
  ]);
  return others
    .filter((member) => chosen.has(member.host.name))
    .map((member) => member.host);
}

function chooseLocalRelays(relays: readonly Member[], own: Member) {
  const local = relays
    .filter((relay) => relay.host.dataCentre === own.host.dataCentre)
    .map((relay) => relay.host.name);
  return rankByHash(own.host.name, local).slice(0, RELAYS_PER_AGENT);
}

/** Neighbours at distances 1, 2, 4, ... on a ring ordered by hash. */
function chooseRingPeers(local: readonly Member[], ownHost: string) {
  const names = local.map((member) => member.host.name);
  if (names.length <= MAX_DATA_CENTRE_MESH_AGENTS) return names;
  const ring = rankByHash("weight-ring", names);
  const ownPosition = ring.indexOf(ownHost);
  const distances = Array.from(
    { length: Math.max(0, Math.ceil(Math.log2(ring.length)) - 1) },
    (_, power) => 2 ** power,
  );
  return distances.flatMap((distance) => [
    ring[(ownPosition + distance) % ring.length]!,
    ring[(ownPosition - distance + ring.length) % ring.length]!,
  ]);
}
