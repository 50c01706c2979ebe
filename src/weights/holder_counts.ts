/** Number of connected agents that hold each chunk, by topology level. */

import type { TopologyLevel } from "./assignments.ts";
import { hasBit } from "./bitmap.ts";
import type { Source } from "./policy.ts";

export interface HolderCounts {
  countHolders(level: TopologyLevel, index: number): number;
}

export interface HolderCountsOptions {
  readonly chunkCount: number;
  readonly holdings: readonly {
    readonly bitmap: Uint8Array;
    readonly distance: Source["distance"];
  }[];
}

export function createHolderCounts(options: HolderCountsOptions): HolderCounts {
  const { chunkCount, holdings } = options;
  const counts = {
    data_centre: new Uint16Array(chunkCount),
    region: new Uint16Array(chunkCount),
    fleet: new Uint16Array(chunkCount),
  };
  holdings.forEach(({ bitmap, distance }) => {
    const levels = [
      counts.fleet,
      ...(distance === "other_region" ? [] : [counts.region]),
      ...(distance === "data_centre" ? [counts.data_centre] : []),
    ];
    for (let index = 0; index < chunkCount; index += 1) {
      if (!hasBit(bitmap, index)) continue;
      for (const level of levels) level[index]! += 1;
    }
  });
  return {
    countHolders: (level, index) => counts[level][index] ?? 0,
  };
}
