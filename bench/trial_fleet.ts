/** Plans the fleet shared by the demo and the measurements under load. */

import { startFleet } from "./fleet.ts";
import type { Fleet } from "./fleet.ts";
import { planFleet } from "./fleet_plan.ts";
import type { FleetPlan } from "./fleet_plan.ts";
import {
  COLD_CONCURRENCY,
  ENGINE_PROFILE,
  WARM_CONCURRENCY,
} from "./profiles.ts";

const CHUNK_BYTES = 64 * 1024;
const MIB = 1024 * 1024;
const LANGUAGE_ENDPOINTS = 3;
const HOSTS_LAG_MS = 1_000;
const LEDGER_WORK_MS = 20;
/** Short, because no load balancer has to notice that an entry is leaving. */
const ENTRY_SETTINGS = { drain_notice_ms: 500 };

export interface TrialLinks {
  readonly hostMbitPerS: number;
  readonly storeMbitPerS: number;
  readonly regionMbitPerS: number;
}

/** Fast enough that transfers do not affect the measurement of requests. */
const FAST_LINKS: TrialLinks = {
  hostMbitPerS: 100,
  storeMbitPerS: 200,
  regionMbitPerS: 100,
};

export interface TrialOptions {
  readonly dataCentres: readonly string[];
  /** Region of a data centre; by default all are in one region. */
  readonly regionOf?: (dataCentre: string) => string;
  /** Number in each data centre. */
  readonly ledgerEndpoints?: number;
  readonly modelMib?: number;
  readonly links?: TrialLinks;
  /** Slots of a warm engine, and the concurrency limit of its agent. */
  readonly warmConcurrency?: number;
  /** Rate limit of each client account. */
  readonly requestsPerS: number;
}

export interface Trial {
  readonly plan: FleetPlan;
  readonly modelBytes: number;
  start(): Promise<Fleet>;
}

/** Plans one entry and three engines in each data centre. */
export function planTrial(options: TrialOptions): Trial {
  const {
    regionOf = () => "bengal",
    ledgerEndpoints = 1,
    modelMib = 1,
    links = FAST_LINKS,
    warmConcurrency = WARM_CONCURRENCY,
  } = options;
  const modelBytes = modelMib * MIB;
  const plan = planFleet({
    dataCentres: options.dataCentres.map((name) => ({
      name,
      region: regionOf(name),
      entries: 1,
      languageEndpoints: LANGUAGE_ENDPOINTS,
      ledgerEndpoints,
    })),
    files: { sizeBytes: modelBytes, chunkBytes: CHUNK_BYTES },
    ...links,
    coldConcurrency: COLD_CONCURRENCY,
    warmConcurrency,
    requestsPerS: options.requestsPerS,
  });
  return {
    plan,
    modelBytes,
    start: () =>
      startFleet({
        plan,
        engine: { ...ENGINE_PROFILE, warmCapacity: warmConcurrency },
        storeMbitPerS: links.storeMbitPerS,
        weightsPolicy: "swarm",
        weightsMemoryBytes: 4 * modelBytes,
        hostsLagMs: HOSTS_LAG_MS,
        ledgerWorkMs: LEDGER_WORK_MS,
        entrySettings: ENTRY_SETTINGS,
      }),
  };
}
