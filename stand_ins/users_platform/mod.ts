/**
 * Stand-ins for the users' platform, implemented from its published
 * documentation: the metadata store, the weight origin, model workers and
 * callers, all on real sockets. A fleet runs the real gateways and sidecars
 * with them.
 */

export { callGateway } from "./caller.ts";
export type { AttemptOptions, AttemptResult } from "./caller.ts";
export { startMetadataStore } from "./metadata_store.ts";
export type { MetadataStoreStandIn } from "./metadata_store.ts";
export type { ModelSpec } from "./model_weights.ts";
export { startOrigin } from "./origin.ts";
export type { OriginStandIn } from "./origin.ts";
export { FIRST_KEY, startPlatformFleet } from "./platform_fleet.ts";
export type {
  FleetProcess,
  GatewayProcess,
  PlatformFleet,
} from "./platform_fleet.ts";
export { startWorker } from "./worker.ts";
export type { WorkerOptions, WorkerStandIn } from "./worker.ts";
