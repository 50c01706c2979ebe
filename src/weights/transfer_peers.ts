/**
 * What a transfer knows of the other agents that want its version: how far
 * away each is, which chunks they hold, and who fetches which chunk first.
 */

import { createAssignments } from "./assignments.ts";
import type { Assignments, Level } from "./assignments.ts";
import { hasBit } from "./bitmap.ts";
import { countHolders } from "./holder_counts.ts";
import type { HolderCounts } from "./holder_counts.ts";
import { chooseGateways } from "./members.ts";
import type { Member } from "./members.ts";
import type { Holding } from "./peer_holdings.ts";
import type { Source } from "./policy.ts";
import type { SourceOutcomes } from "./source_outcomes.ts";
import type { TransferContext } from "./transfer_context.ts";

/** A holder that has sent this much less, in copies, is asked instead. */
const LIGHTER_BY_COPIES = 0.15;

export interface TransferPeers {
  readonly members: () => readonly Member[];
  assignments(): Assignments;
  distanceOf(holding: Holding): Source["distance"];
  /** True if chunks of this version may be asked for there. */
  isUsable(holding: Holding): boolean;
  holders(level: Level, index: number): number;
  hasBetterHolder(holding: Holding, index: number): boolean;
  /** Drops what followed from the number of chunks. */
  onManifest(): void;
  /** Drops what followed from the holdings. */
  onHoldingsChanged(): void;
  /** True if the members differ from those before. */
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
  const { holdings, listMembers, nowMs, selfHost } = options.context;
  const distances = new Map<string, Source["distance"]>();
  let members = listMembers();
  let assignments: Assignments | undefined;
  let counts: HolderCounts | undefined;

  function distanceOf({ dataCentre }: Holding): Source["distance"] {
    const known = distances.get(dataCentre);
    if (known !== undefined) return known;
    const found = computeDistance(dataCentre);
    distances.set(dataCentre, found);
    return found;
  }

  function computeDistance(dataCentre: string): Source["distance"] {
    const own = members.find((member) => member.host.name === selfHost);
    if (own === undefined || dataCentre === own.host.dataCentre) {
      return "data_centre";
    }
    const region = members.find(
      (member) => member.host.dataCentre === dataCentre,
    )?.region;
    return region === own.region ? "region" : "other_region";
  }

  function isUsable(holding: Holding): boolean {
    return (
      holding.manifestDigest === manifestDigest &&
      holding.chunkCount === chunkCount() &&
      !outcomes.isAvoided(holding.host)
    );
  }

  function isTrusted(holding: Holding): boolean {
    return isUsable(holding) && !outcomes.isDistrusted(holding.host);
  }

  function readCounts(): HolderCounts {
    counts ??= countHolders({
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
        gateways: chooseGateways(members),
        self: selfHost,
        manifestDigest,
        chunkCount: chunkCount() ?? 0,
      });
      return assignments;
    },
    distanceOf,
    isUsable,
    holders: (level, index) => readCounts().holders(level, index),
    hasBetterHolder(holding, index) {
      const distance = distanceOf(holding);
      const limit = holding.sentBytes - LIGHTER_BY_COPIES * sizeBytes;
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
