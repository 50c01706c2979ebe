/** The agent for an endpoint that entries call directly. */

export type {
  EndpointApi,
  EndpointFailure,
  EndpointReport,
  OriginFailure,
  WeightOrigin,
} from "./endpoint_api.ts";
export { chooseTargets, computeSwitchDelayMs } from "./choose_target.ts";
export { createFleetState } from "./fleet_state.ts";
export { createManifestSource } from "./manifest_source.ts";
export { readValidChunks, stageChunks } from "./staging.ts";
export { startSidecar } from "./start_sidecar.ts";
export type { Sidecar, SidecarSettings } from "./start_sidecar.ts";
export { createRateLoans } from "./rate_loans.ts";
export type { RateLoans } from "./rate_loans.ts";
