/** Client of the HTTP interface of a model engine or a plain service. */

export { createEndpointClient } from "./endpoint_client.ts";
export type {
  EndpointResponse,
  EndpointClient,
  EndpointFailure,
  EndpointRequest,
  LoadOrder,
  LoadOrderResult,
} from "./endpoint_client.ts";
export { createEndpointMonitor } from "./endpoint_monitor.ts";
export type {
  EndpointKind,
  EndpointMonitor,
  EndpointStatus,
} from "./endpoint_monitor.ts";
export { parseEngineState } from "./engine_state.ts";
export type { EngineState, Fencing } from "./engine_state.ts";
export { createSseSplitter } from "./sse_splitter.ts";
export type { SseSplitter } from "./sse_splitter.ts";
