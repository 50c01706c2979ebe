/**
 * Assigns each chunk to the agent that fetches it first into the fleet, into
 * each region and into each data centre. Agents with the same list of hosts
 * compute the same assignment without coordination, and adding or removing one
 * host reassigns few chunks.
 */

import { computeSeed, scorePair } from "../hashing/mod.ts";
import type { Member } from "./members.ts";

export type TopologyLevel = "fleet" | "region" | "data_centre";

export interface Assignments {
  /**
   * Agents that rank before this one for fetching the chunk into this level;
   * undefined if this agent never fetches into it.
   */
  listEarlierFetchers(
    level: TopologyLevel,
    index: number,
  ): readonly string[] | undefined;
  /** Relays that fetch into this agent's region from other regions. */
  readonly regionRelayCount: number;
}

export interface AssignmentOptions {
  readonly relays: readonly Member[];
  readonly ownHostName: string;
  readonly manifestDigest: string;
  readonly chunkCount: number;
}

interface SeededMember {
  readonly member: Member;
  readonly seed: number;
}

export function createAssignments(options: AssignmentOptions): Assignments {
  const { relays, ownHostName, manifestDigest, chunkCount } = options;
  const fleet: readonly SeededMember[] = relays.map((member) => ({
    member,
    seed: computeSeed(`${manifestDigest}/${member.host.name}`),
  }));
  const own = fleet.find(
    (candidate) => candidate.member.host.name === ownHostName,
  );
  const region = fleet.filter(
    (candidate) => candidate.member.region === own?.member.region,
  );
  const dataCentre = region.filter(
    (candidate) =>
      candidate.member.host.dataCentre === own?.member.host.dataCentre,
  );
  const groups = { fleet, region, data_centre: dataCentre };
  const fleetPrimaries = assignPrimaries(fleet, chunkCount, () => undefined);
  const regionPrimaries = assignPrimaries(region, chunkCount, (index) =>
    keepIfInGroup(region, fleetPrimaries[index]),
  );
  const primaries = {
    fleet: fleetPrimaries,
    region: regionPrimaries,
    data_centre: assignPrimaries(dataCentre, chunkCount, (index) =>
      keepIfInGroup(dataCentre, regionPrimaries[index]),
    ),
  };

  const earlierByKey = new Map<string, readonly string[]>();

  function findEarlierFetchers(
    level: TopologyLevel,
    index: number,
    requester: SeededMember,
  ) {
    const chosen = primaries[level][index];
    if (chosen === undefined || chosen === requester) return [];
    const ownScore = computeScore(requester, index);
    const others = groups[level]
      .filter(
        (candidate) =>
          candidate !== chosen &&
          candidate !== requester &&
          computeScore(candidate, index) > ownScore,
      )
      .sort((a, b) => computeScore(b, index) - computeScore(a, index));
    return [chosen, ...others].map((candidate) => candidate.member.host.name);
  }

  return {
    regionRelayCount: region.length,
    listEarlierFetchers(level, index) {
      if (own === undefined) return undefined;
      const key = `${level}/${index}`;
      const found =
        earlierByKey.get(key) ?? findEarlierFetchers(level, index, own);
      earlierByKey.set(key, found);
      return found;
    },
  };
}

/** A chunk's fetcher at the level above also fetches it at this level. */
function keepIfInGroup(
  group: readonly SeededMember[],
  chosen: SeededMember | undefined,
) {
  return chosen !== undefined && group.includes(chosen) ? chosen : undefined;
}

/**
 * Rendezvous hashing with bounded load. Without the bound some agents get twice
 * their share, and the agent that takes longest determines when the transfer
 * completes.
 */
function assignPrimaries(
  group: readonly SeededMember[],
  chunkCount: number,
  inherit: (index: number) => SeededMember | undefined,
): readonly (SeededMember | undefined)[] {
  const capacity = Math.ceil(chunkCount / Math.max(1, group.length));
  const loads = new Map(group.map((candidate) => [candidate, 0]));
  const inheritedPrimaries = Array.from({ length: chunkCount }, (_, index) =>
    inherit(index),
  );
  function add(candidate: SeededMember) {
    loads.set(candidate, loads.get(candidate)! + 1);
  }

  /** Avoids allocation, because it runs for each pair of chunk and agent. */
  function findHighest(index: number): SeededMember | undefined {
    let best: SeededMember | undefined;
    let bestScore = -1;
    for (const candidate of group) {
      const score = computeScore(candidate, index);
      if (score <= bestScore || loads.get(candidate)! >= capacity) continue;
      best = candidate;
      bestScore = score;
    }
    return best ?? group[index % Math.max(1, group.length)];
  }

  inheritedPrimaries.forEach(
    (candidate) => candidate !== undefined && add(candidate),
  );
  return inheritedPrimaries.map((inherited, index) => {
    if (inherited !== undefined) return inherited;
    const chosen = findHighest(index);
    if (chosen !== undefined) add(chosen);
    return chosen;
  });
}

function computeScore(candidate: SeededMember, index: number): number {
  return scorePair(candidate.seed, index + 1);
}
