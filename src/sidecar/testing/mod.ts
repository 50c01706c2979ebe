/** Builders for tests of the agent. */

import type { EndpointReport } from "../endpoint_api.ts";

/** The report of an idle endpoint without weights. */
export function createReport(
  fields: Partial<EndpointReport> = {},
): EndpointReport {
  return {
    running: 0,
    waiting: 0,
    acceptedOrders: 0,
    isBusy: false,
    models: [],
    memoryUsedTokens: 0,
    memoryTotalTokens: 0,
    slowdown: 1,
    isLeaving: false,
    ...fields,
  };
}
