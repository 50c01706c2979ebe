/** Sizes and link rates of a burst, in which N replicas fetch a new version. */

import { planFleet } from "./fleet_plan.ts";
import type { FleetPlan } from "./fleet_plan.ts";
import { COLD_CONCURRENCY, WARM_CONCURRENCY } from "./profiles.ts";

/** The origin's link has twice the rate of a host's (docs/design.md 1.4). */
const STORE_PER_HOST_RATE = 2;
/** 15 Mbit/s between regions and 12 Mbit/s for a host (docs/design.md 1.4). */
const REGION_PER_HOST_RATE = 1.25;
const BYTES_PER_MS_PER_MBIT = 125;
/** Rate of all links during the first roll-out, which is not measured. */
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

/** Transfer time of the model's bytes over one host's link. */
export function computeLowerBoundMs(size: BurstSize): number {
  return size.modelBytes / (size.hostMbitPerS * BYTES_PER_MS_PER_MBIT);
}

/** Plans the fleet; `isSetup` gives it the fast links of the first roll-out. */
export function planBurst(
  size: BurstSize,
  options: { readonly isSetup: boolean },
): FleetPlan {
  const { replicas, modelBytes, hostMbitPerS } = size;
  const chooseRate = (mbitPerS: number) =>
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
    hostMbitPerS: chooseRate(hostMbitPerS),
    storeMbitPerS: chooseRate(computeStoreMbitPerS(size)),
    regionMbitPerS: chooseRate(REGION_PER_HOST_RATE * hostMbitPerS),
    coldConcurrency: COLD_CONCURRENCY,
    warmConcurrency: WARM_CONCURRENCY,
    requestsPerS: 1_000,
  });
}
