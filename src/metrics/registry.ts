/** All metrics of one process, rendered in the Prometheus text format. */

import { createCounter, formatLabels } from "./counter.ts";
import type { Counter, Labels } from "./counter.ts";
import { createLatencyHistogram } from "./latency_histogram.ts";
import type { LatencyHistogram } from "./latency_histogram.ts";

const QUANTILES = [50, 95, 99] as const;
const PREFIX = "zinniaspur_";

export interface Registry {
  /** Returns the counter with this name, creating it on first use. */
  counter(name: string, help: string): Counter;
  latency(name: string, help: string): LatencyHistogram;
  /** Registers a value that is read when metrics are rendered. */
  gauge(name: string, help: string, read: () => GaugeValue): void;
  render(): string;
}

export type GaugeValue =
  number | readonly { readonly labels: Labels; readonly value: number }[];

interface DescribedMetric<T> {
  readonly help: string;
  readonly metric: T;
}

export function createRegistry(): Registry {
  const counters = new Map<string, DescribedMetric<Counter>>();
  const latencies = new Map<string, DescribedMetric<LatencyHistogram>>();
  const gauges = new Map<string, DescribedMetric<() => GaugeValue>>();

  return {
    counter(name, help) {
      return getOrCreate(counters, name, () => ({
        help,
        metric: createCounter(name),
      }));
    },
    latency(name, help) {
      return getOrCreate(latencies, name, () => ({
        help,
        metric: createLatencyHistogram(name),
      }));
    },
    gauge(name, help, read) {
      gauges.set(name, { help, metric: read });
    },
    render() {
      const lines = [
        ...[...counters].flatMap(([name, { help, metric }]) => [
          ...renderHeader(name, help, "counter"),
          ...metric.samples().map((s) => renderLine(name, s.labels, s.value)),
        ]),
        ...[...latencies].flatMap(([name, { help, metric }]) => [
          ...renderHeader(name, help, "summary"),
          ...QUANTILES.map((p) =>
            renderLine(
              name,
              { quantile: String(p / 100) },
              metric.percentileMs(p),
            ),
          ),
          renderLine(`${name}_sum`, {}, metric.sumMs()),
          renderLine(`${name}_count`, {}, metric.count()),
        ]),
        ...[...gauges].flatMap(([name, { help, metric }]) => [
          ...renderHeader(name, help, "gauge"),
          ...toSamples(metric()).map((s) =>
            renderLine(name, s.labels, s.value),
          ),
        ]),
      ];
      return lines.join("\n") + "\n";
    },
  };
}

function getOrCreate<T>(
  map: Map<string, DescribedMetric<T>>,
  name: string,
  create: () => DescribedMetric<T>,
): T {
  const found = map.get(name);
  if (found !== undefined) return found.metric;
  const created = create();
  map.set(name, created);
  return created.metric;
}

function toSamples(value: GaugeValue) {
  return typeof value === "number" ? [{ labels: {}, value }] : value;
}

function renderHeader(name: string, help: string, type: string) {
  return [`# HELP ${PREFIX}${name} ${help}`, `# TYPE ${PREFIX}${name} ${type}`];
}

function renderLine(name: string, labels: Labels, value: number): string {
  const text = formatLabels(labels);
  return `${PREFIX}${name}${text === "" ? "" : `{${text}}`} ${value}`;
}
