/** Builder for the load reports that agents send to entries. */

import type { EndpointLoadNotice } from "../../wire/mod.ts";

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
