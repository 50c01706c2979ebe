/** How many connected agents hold each chunk, near and far. */

import type { Level } from "./assignments.ts";
import { hasBit } from "./bitmap.ts";
import type { Source } from "./policy.ts";

export interface HolderCounts {
  holders(level: Level, index: number): number;
  /** Chunks that this agent or a connected one holds. */
  readonly chunksInFleet: number;
}

export interface HolderCountsOptions {
  readonly chunkCount: number;
  /** Chunks that this agent holds. */
  readonly held: Uint8Array;
  readonly holdings: readonly {
    readonly bitmap: Uint8Array;
    readonly distance: Source["distance"];
  }[];
}

export function countHolders(options: HolderCountsOptions): HolderCounts {
  const { chunkCount, held, holdings } = options;
  const counts = {
    data_centre: new Uint16Array(chunkCount),
    region: new Uint16Array(chunkCount),
    fleet: new Uint16Array(chunkCount),
  };
  let chunksInFleet = 0;
  for (let index = 0; index < chunkCount; index += 1) {
    for (const { bitmap, distance } of holdings) {
      if (!hasBit(bitmap, index)) continue;
      counts.fleet[index]! += 1;
      if (distance === "other_region") continue;
      counts.region[index]! += 1;
      if (distance === "data_centre") counts.data_centre[index]! += 1;
    }
    if (hasBit(held, index) || counts.fleet[index]! > 0) chunksInFleet += 1;
  }
  return {
    holders: (level, index) => counts[level][index] ?? 0,
    chunksInFleet,
  };
}
