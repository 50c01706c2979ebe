/** Builder for endpoints as candidates for a request. */

import { createEndpoint } from "../../directory/testing/mod.ts";
import type { EndpointView } from "../choose_endpoint.ts";
import { NO_LOAD } from "../endpoint_loads.ts";

/** A usable endpoint of the own data centre, without load. */
export function createEndpointView(
  id: string,
  fields: Partial<EndpointView> = {},
): EndpointView {
  return {
    endpoint: {
      ...createEndpoint({ id }),
      firstSeenAtMs: 0,
      listedAtMs: 0,
    },
    load: NO_LOAD,
    isAllowed: true,
    isLeaving: false,
    pausedMs: 0,
    isInBackoff: false,
    hasColdCapacity: true,
    requestLimitPerS: Infinity,
    hasPermit: true,
    failureRate: 0,
    distance: "data_centre",
    weightVersion: 1,
    ...fields,
  };
}
