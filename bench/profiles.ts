/** Engine and fleet settings shared by the demo and the measurements. */

import type { EngineProfile } from "./fleet.ts";

export const ENGINE_PROFILE: EngineProfile = {
  stepMs: 20,
  prefillMs: 40,
  cachedPrefillMs: 15,
  warmCapacity: 16,
  coldCapacity: 4,
  warmUpRequests: 6,
  loadMs: 300,
  restartMs: 500,
  stateLagMs: 150,
  checksFencing: true,
};

export const COLD_CONCURRENCY = 2;
export const WARM_CONCURRENCY = 16;
