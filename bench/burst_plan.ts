/** Sizes and rates of a burst: a new version for N replicas. */

import { planFleet } from "./fleet_plan.ts";
import type { FleetPlan } from "./fleet_plan.ts";
import { COLD_CONCURRENCY, WARM_CONCURRENCY } from "./profiles.ts";

/** The origin's link carries twice as much as a host's (design 1.4). */
const STORE_PER_HOST_RATE = 2;
/** 15 Mbit/s between regions (design 1.4) beside 12 Mbit/s for each host. */
const REGION_PER_HOST_RATE = 1.25;
const BYTES_PER_MS_PER_MBIT = 125;
/** Links of the first roll-out, which is not measured. */
export const SETUP_MBIT_PER_S = 1_000;
const CHUNK_BYTES = 64 * 1024;

export const DATA_CENTRES = [
  { name: "kolkata", region: "south-bengal" },
  { name: "siliguri", region: "north-bengal" },
  { name: "bardhaman", region: "south-bengal" },
];

export interface BurstSize {
  readonly replicas: number;
  readonly modelBytes: number;
  readonly hostMbitPerS: number;
}

export function computeStoreMbitPerS({ hostMbitPerS }: BurstSize): number {
  return STORE_PER_HOST_RATE * hostMbitPerS;
}

/** Time of the model's bytes on one host's link. */
export function computeLowerBoundMs(size: BurstSize): number {
  return size.modelBytes / (size.hostMbitPerS * BYTES_PER_MS_PER_MBIT);
}

/** The fleet with its links, or with fast ones for the first roll-out. */
export function planBurst(
  size: BurstSize,
  options: { readonly isSetup: boolean },
): FleetPlan {
  const { replicas, modelBytes, hostMbitPerS } = size;
  const readRate = (mbitPerS: number) =>
    options.isSetup ? SETUP_MBIT_PER_S : mbitPerS;
  return planFleet({
    dataCentres: DATA_CENTRES.map((dataCentre, index) => ({
      ...dataCentre,
      entries: 1,
      languageEndpoints: Math.floor(
        (replicas + DATA_CENTRES.length - 1 - index) / DATA_CENTRES.length,
      ),
      ledgerEndpoints: 0,
    })),
    files: { sizeBytes: modelBytes, chunkBytes: CHUNK_BYTES },
    hostMbitPerS: readRate(hostMbitPerS),
    storeMbitPerS: readRate(computeStoreMbitPerS(size)),
    regionMbitPerS: readRate(REGION_PER_HOST_RATE * hostMbitPerS),
    coldConcurrency: COLD_CONCURRENCY,
    warmConcurrency: WARM_CONCURRENCY,
    requestsPerS: 1_000,
  });
}
