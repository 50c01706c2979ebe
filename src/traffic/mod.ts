/** Network traffic of this process by purpose. */

export { createTrafficCounters } from "./traffic_counters.ts";
export type { TrafficCounters } from "./traffic_counters.ts";
export { startTrafficLog } from "./traffic_log.ts";
export type { TrafficLog } from "./traffic_log.ts";
