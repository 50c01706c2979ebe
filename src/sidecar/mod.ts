/** The agent for an endpoint that entries call directly. */

export type {
  EndpointControl,
  EndpointFailure,
  EndpointReport,
  OriginFailure,
  WeightOrigin,
} from "./endpoint_control.ts";
export { chooseTargets, computeTurnMs } from "./choose_target.ts";
export { createFleetFacts } from "./fleet_facts.ts";
export { createManifestSource } from "./agreed_manifest.ts";
export { readSoundChunks, stageChunks } from "./staging.ts";
export { startSidecar } from "./start_sidecar.ts";
export type { Sidecar, SidecarSettings } from "./start_sidecar.ts";
