/**
 * What keeps a request from being sent when its connection is open. Opening one
 * takes up to half a second, and longer if this process was paused meanwhile, so
 * what allowed the choice of the endpoint may no longer hold.
 */

import type { EndpointView } from "../scheduling/mod.ts";
import { startsInTime } from "../scheduling/mod.ts";
import type { ChosenEndpoint } from "./call_state.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { findStartWindowMs } from "./list_endpoint_views.ts";
import { REQUEST_LIMIT_REASON } from "./request_permits.ts";
import type { RequestPermit } from "./request_permits.ts";
import { VERSION_EXPIRED_REASON } from "./version_deadlines.ts";

/** The endpoint leaves, or its data centre is evacuated. */
export const WITHDRAWN_REASON = "endpoint_withdrawn";

/** The reason, if there is one. */
export function findSendObstacle(
  context: GatewayContext,
  { view, forecastMs }: ChosenEndpoint,
  permit: RequestPermit,
): string | undefined {
  if (isWithdrawn(context, view)) return WITHDRAWN_REASON;
  if (!startsInTime(findTimeToBoundMs(context, view), forecastMs)) {
    return VERSION_EXPIRED_REASON;
  }
  return permit.confirm() ? undefined : REQUEST_LIMIT_REASON;
}

function isWithdrawn(
  { directory, availability }: GatewayContext,
  { endpoint }: EndpointView,
): boolean {
  const listed = directory.endpoint(endpoint.id);
  return (
    listed === undefined ||
    listed.isDraining ||
    directory.isEvacuated(endpoint.dataCentre) ||
    availability.isLeaving(endpoint)
  );
}

/**
 * Time left in which the request may start. The round trip is no longer known
 * when the agent's connection closes on a full link.
 */
export function findTimeToBoundMs(
  context: GatewayContext,
  { model, weightVersion, endpoint, load }: EndpointView,
): number {
  const roundTripMs = Math.max(
    load.roundTripMs,
    context.loads.readRoundTripMs(endpoint.address),
  );
  return findStartWindowMs(context, { model, weightVersion, roundTripMs });
}
