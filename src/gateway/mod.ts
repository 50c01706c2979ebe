/** The entry for platforms whose endpoints are called directly. */

export type {
  ResponseHeaders,
  Call,
  CallHeaders,
  ForwardOptions,
  HeaderCodec,
} from "./call.ts";
export { chooseEndpoint } from "../scheduling/mod.ts";
export type { Choice, ChoiceOptions, EndpointView } from "../scheduling/mod.ts";
export type { CheckIncarnation, ReadStartTime } from "./endpoint_check.ts";
export { forecastFirstEventMs } from "../scheduling/mod.ts";
export type { GatewayBounds } from "./gateway_context.ts";
export { startGateway } from "./start_gateway.ts";
export type { Gateway, GatewaySettings } from "./start_gateway.ts";
