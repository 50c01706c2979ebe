/**
 * Decisions under load: which endpoint takes a request, whether it is admitted,
 * and when a refused caller should return. Functions over plain values, without
 * a network and without the names of any platform.
 */

export { createCandidates, MAX_WEIGHED } from "./candidates.ts";
export type { Candidates } from "./candidates.ts";
export { chooseEndpoint } from "./choose_endpoint.ts";
export type {
  Choice,
  ChoiceOptions,
  EndpointView,
  RequestOrder,
} from "./choose_endpoint.ts";
export { createEndpointHealth } from "./endpoint_health.ts";
export type { EndpointHealth } from "./endpoint_health.ts";
export { createEndpointLoads, NO_LOAD } from "./endpoint_loads.ts";
export type {
  EndpointLoad,
  EndpointLoads,
  LoadStatement,
} from "./endpoint_loads.ts";
export {
  computePassMs,
  forecastEndMs,
  forecastFirstEventMs,
} from "./forecast_first_event.ts";
export type { RequestSize } from "./forecast_first_event.ts";
export { isLikelyQueued } from "./queued_request.ts";
export { createQueueMix } from "./queue_mix.ts";
export type { QueueMix } from "./queue_mix.ts";
export { createRefusalTracker } from "./refusal_tracker.ts";
export type { RefusalTracker } from "./refusal_tracker.ts";
export {
  computeReturnDelay,
  DEFAULT_RETRY_DELAY_MS,
  spreadDelay,
} from "./return_delay.ts";
export type { ReturnDelay } from "./return_delay.ts";
export { computeRequestPriority, createUrgencyRanks } from "./urgency.ts";
export type { Urgency, UrgencyRanks } from "./urgency.ts";
export {
  ABORT_DELAY_MS,
  computeStartWindowMs,
  startsInTime,
} from "./weight_versions.ts";
