/**
 * The other agents that take part in a transfer: their network distance, the
 * chunks they hold, and the assignment of chunks to agents.
 */

import { createAssignments } from "./assignments.ts";
import type { Assignments, TopologyLevel } from "./assignments.ts";
import { hasBit } from "./bitmap.ts";
import { createHolderCounts } from "./holder_counts.ts";
import type { HolderCounts } from "./holder_counts.ts";
import { chooseRelays } from "./members.ts";
import type { Member } from "./members.ts";
import type { PeerHolding } from "./peer_holdings.ts";
import type { Source } from "./policy.ts";
import type { SourceOutcomes } from "./source_outcomes.ts";
import type { TransferContext } from "./transfer_context.ts";

/** A holder is preferred if it has sent at least this many copies less. */
const MIN_SENT_GAP_COPIES = 0.15;

export interface TransferPeers {
  readonly members: () => readonly Member[];
  assignments(): Assignments;
  distanceOf(holding: PeerHolding): Source["distance"];
  /** True if chunks of this version can be requested from the peer. */
  isUsable(holding: PeerHolding): boolean;
  countHolders(level: TopologyLevel, index: number): number;
  hasLessUsedHolder(holding: PeerHolding, index: number): boolean;
  /** Invalidates the caches that depend on the number of chunks. */
  onManifest(): void;
  /** Invalidates the caches that depend on the holdings. */
  onHoldingsChanged(): void;
  /** Updates the members; returns true if they have changed. */
  onMembersChanged(): boolean;
}

export interface TransferPeersOptions {
  readonly context: TransferContext;
  readonly outcomes: SourceOutcomes;
  readonly manifestDigest: string;
  readonly sizeBytes: number;
  /** Undefined until the manifest is known. */
  readonly chunkCount: () => number | undefined;
}

export function createTransferPeers(
  options: TransferPeersOptions,
): TransferPeers {
  const { outcomes, manifestDigest, sizeBytes, chunkCount } = options;
  const { holdings, listMembers, nowMs, ownHost } = options.context;
  const distances = new Map<string, Source["distance"]>();
  let members = listMembers();
  let assignments: Assignments | undefined;
  let counts: HolderCounts | undefined;

  function distanceOf({ dataCentre }: PeerHolding): Source["distance"] {
    const cached = distances.get(dataCentre);
    if (cached !== undefined) return cached;
    const distance = computeDistance(dataCentre);
    distances.set(dataCentre, distance);
    return distance;
  }

  function computeDistance(dataCentre: string): Source["distance"] {
    const own = members.find((member) => member.host.name === ownHost);
    if (own === undefined || dataCentre === own.host.dataCentre) {
      return "data_centre";
    }
    const region = members.find(
      (member) => member.host.dataCentre === dataCentre,
    )?.region;
    return region === own.region ? "region" : "other_region";
  }

  function isUsable(holding: PeerHolding): boolean {
    return (
      holding.manifestDigest === manifestDigest &&
      holding.chunkCount === chunkCount() &&
      !outcomes.isExcluded(holding.host)
    );
  }

  function isTrusted(holding: PeerHolding): boolean {
    return isUsable(holding) && !outcomes.isDistrusted(holding.host);
  }

  function getHolderCounts(): HolderCounts {
    counts ??= createHolderCounts({
      chunkCount: chunkCount() ?? 0,
      holdings: holdings
        .list()
        .filter(isTrusted)
        .map((holding) => ({
          bitmap: holding.bitmap,
          distance: distanceOf(holding),
        })),
    });
    return counts;
  }

  return {
    members: () => members,
    assignments() {
      assignments ??= createAssignments({
        relays: chooseRelays(members),
        ownHostName: ownHost,
        manifestDigest,
        chunkCount: chunkCount() ?? 0,
      });
      return assignments;
    },
    distanceOf,
    isUsable,
    countHolders: (level, index) =>
      getHolderCounts().countHolders(level, index),
    hasLessUsedHolder(holding, index) {
      const distance = distanceOf(holding);
      const limit = holding.sentBytes - MIN_SENT_GAP_COPIES * sizeBytes;
      if (limit <= 0) return false;
      return holdings
        .list()
        .some(
          (other) =>
            other.sentBytes < limit &&
            isTrusted(other) &&
            hasBit(other.bitmap, index) &&
            outcomes.readyAtMs(other.host) <= nowMs() &&
            distanceOf(other) === distance,
        );
    },
    onManifest() {
      assignments = undefined;
      counts = undefined;
    },
    onHoldingsChanged: () => void (counts = undefined),
    onMembersChanged() {
      const next = listMembers();
      if (describeMembers(next) === describeMembers(members)) return false;
      members = next;
      distances.clear();
      assignments = undefined;
      counts = undefined;
      return true;
    },
  };
}

function describeMembers(members: readonly Member[]): string {
  return members
    .map(({ host, region }) => `${host.name}/${host.dataCentre}/${region}`)
    .join(" ");
}
