/** Counters, gauges and latency distributions in the Prometheus text format. */

export { createCounter } from "./counter.ts";
export type { Counter, Labels, Sample } from "./counter.ts";
export { createLatencyHistogram } from "./latency_histogram.ts";
export type { LatencyHistogram } from "./latency_histogram.ts";
export { createRegistry } from "./registry.ts";
export type { GaugeValue, Registry } from "./registry.ts";
export { startMetricsServer } from "./metrics_server.ts";
export type { MetricsServer } from "./metrics_server.ts";
