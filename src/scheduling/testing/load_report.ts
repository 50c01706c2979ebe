/** Builders for the load of endpoints and the reports that agents send. */

import type { EndpointLoadNotice } from "../../wire/mod.ts";
import { NO_LOAD } from "../endpoint_loads.ts";
import type { EndpointLoad } from "../endpoint_loads.ts";

export function createReport(
  fields: Partial<EndpointLoadNotice> = {},
): EndpointLoadNotice {
  return {
    topic: "endpoint_load",
    address: "e",
    phase: "warm",
    models: [],
    running: 3,
    waiting: 1,
    memoryUsedTokens: 0,
    memoryTotalTokens: 0,
    slowdown: 1,
    ...fields,
  };
}

/** The load that a request of the least urgent kind finds. */
export function createLoad(
  requests: number,
  fields: Partial<EndpointLoad> = {},
): EndpointLoad {
  return { ...NO_LOAD, requests, requestsAhead: requests, ...fields };
}
