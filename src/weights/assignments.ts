/**
 * Which agent fetches each chunk first into the fleet, into each region and
 * into each data centre. All agents that know the same hosts compute the same
 * assignment without a vote, and a change of one host moves few chunks.
 */

import { createHash } from "node:crypto";
import type { Member } from "./members.ts";

export type Level = "fleet" | "region" | "data_centre";

export interface Assignments {
  /**
   * Agents that come before this one in the order in which agents may fetch
   * the chunk into this level; undefined if this one never does.
   */
  earlier(level: Level, index: number): readonly string[] | undefined;
  /** Agents that fetch into this agent's region from other regions. */
  readonly regionGatewayCount: number;
}

export interface AssignmentOptions {
  readonly gateways: readonly Member[];
  readonly self: string;
  readonly manifestDigest: string;
  readonly chunkCount: number;
}

interface Ranked {
  readonly member: Member;
  readonly seed: number;
}

export function createAssignments(options: AssignmentOptions): Assignments {
  const { gateways, self, manifestDigest, chunkCount } = options;
  const fleet: readonly Ranked[] = gateways.map((member) => ({
    member,
    seed: computeSeed(manifestDigest, member.host.name),
  }));
  const own = fleet.find((ranked) => ranked.member.host.name === self);
  const region = fleet.filter(
    (ranked) => ranked.member.region === own?.member.region,
  );
  const dataCentre = region.filter(
    (ranked) => ranked.member.host.dataCentre === own?.member.host.dataCentre,
  );
  const groups = { fleet, region, data_centre: dataCentre };
  const fleetFirst = assignFirst(fleet, chunkCount, () => undefined);
  const regionFirst = assignFirst(region, chunkCount, (index) =>
    pickMember(region, fleetFirst[index]),
  );
  const first = {
    fleet: fleetFirst,
    region: regionFirst,
    data_centre: assignFirst(dataCentre, chunkCount, (index) =>
      pickMember(dataCentre, regionFirst[index]),
    ),
  };

  const known = new Map<string, readonly string[]>();

  function listEarlier(level: Level, index: number, self: Ranked) {
    const chosen = first[level][index];
    if (chosen === undefined || chosen === self) return [];
    const ownScore = scorePair(self, index);
    const others = groups[level]
      .filter(
        (ranked) =>
          ranked !== chosen &&
          ranked !== self &&
          scorePair(ranked, index) > ownScore,
      )
      .sort((a, b) => scorePair(b, index) - scorePair(a, index));
    return [chosen, ...others].map((ranked) => ranked.member.host.name);
  }

  return {
    regionGatewayCount: region.length,
    earlier(level, index) {
      if (own === undefined) return undefined;
      const key = `${level}/${index}`;
      const found = known.get(key) ?? listEarlier(level, index, own);
      known.set(key, found);
      return found;
    },
  };
}

/** A chunk's fetcher at the level above also fetches it at this level. */
function pickMember(group: readonly Ranked[], chosen: Ranked | undefined) {
  return chosen !== undefined && group.includes(chosen) ? chosen : undefined;
}

/**
 * Rendezvous hashing with bounded load: plain hashing gives some agents twice
 * their share, and the slowest agent's share decides when the last chunk
 * arrives.
 */
function assignFirst(
  group: readonly Ranked[],
  chunkCount: number,
  inherit: (index: number) => Ranked | undefined,
): readonly (Ranked | undefined)[] {
  const capacity = Math.ceil(chunkCount / Math.max(1, group.length));
  const loads = new Map(group.map((ranked) => [ranked, 0]));
  const first = Array.from({ length: chunkCount }, (_, index) =>
    inherit(index),
  );
  function add(ranked: Ranked) {
    loads.set(ranked, loads.get(ranked)! + 1);
  }

  /** A loop without allocation: this runs for each chunk and each agent. */
  function findHighest(index: number): Ranked | undefined {
    let best: Ranked | undefined;
    let bestScore = -1;
    for (const ranked of group) {
      const score = scorePair(ranked, index);
      if (score <= bestScore || loads.get(ranked)! >= capacity) continue;
      best = ranked;
      bestScore = score;
    }
    return best ?? group[index % Math.max(1, group.length)];
  }

  first.forEach((ranked) => ranked !== undefined && add(ranked));
  return first.map((inherited, index) => {
    if (inherited !== undefined) return inherited;
    const chosen = findHighest(index);
    if (chosen !== undefined) add(chosen);
    return chosen;
  });
}

function computeSeed(manifestDigest: string, host: string): number {
  return createHash("sha256")
    .update(`${manifestDigest}/${host}`)
    .digest()
    .readUInt32BE(0);
}

/**
 * Mixes a host's SHA-256 seed with a chunk index (the finalizer of MurmurHash
 * 3). One SHA-256 for each pair would take seconds for thousands of chunks.
 */
function scorePair(ranked: Ranked, index: number): number {
  let h = ranked.seed ^ Math.imul(index + 1, 0x9e3779b1);
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
