/** What this process sends and receives over the links, and for what. */

export { createTrafficCounters } from "./traffic_counters.ts";
export type { TrafficCounters } from "./traffic_counters.ts";
export { startTrafficLog } from "./traffic_log.ts";
export type { TrafficLog } from "./traffic_log.ts";
