/** Reads `/metrics` of hosts and computes the increase between two readings. */

import { readText } from "./bench_http.ts";
import { processUrl } from "./fleet_hosts.ts";
import type { PlannedHost } from "./fleet_plan.ts";

type MetricValues = ReadonlyMap<string, number>;

/** Values for each host, in the order of the hosts; empty if unreachable. */
export type MetricsSnapshot = readonly MetricValues[];

export function readAllMetrics(hosts: readonly PlannedHost[]) {
  return Promise.all(hosts.map(readMetrics));
}

/** Values of one host's metrics, by name with labels. */
async function readMetrics(host: PlannedHost): Promise<MetricValues> {
  try {
    const text = await readText(`${processUrl(host)}/metrics`);
    return new Map(
      text
        .split("\n")
        .filter((line) => line !== "" && !line.startsWith("#"))
        .map((line) => {
          const separator = line.lastIndexOf(" ");
          return [
            line.slice(0, separator),
            Number(line.slice(separator + 1)),
          ] as const;
        }),
    );
  } catch {
    return new Map();
  }
}

/** Increase of the matching series for each host; 0 if its process ended. */
export function sumIncreaseByHost(
  before: MetricsSnapshot,
  after: MetricsSnapshot,
  pattern: RegExp,
): readonly number[] {
  const sum = (series: MetricValues) =>
    [...series]
      .filter(([name]) => pattern.test(name))
      .reduce((total, [, value]) => total + value, 0);
  return after.map((series, i) => Math.max(0, sum(series) - sum(before[i]!)));
}

/** Increase of the matching series by labels, summed over all hosts. */
export function sumIncreaseByLabels(
  before: MetricsSnapshot,
  after: MetricsSnapshot,
  pattern: RegExp,
): Readonly<Record<string, number>> {
  const names = new Set(after.flatMap((series) => [...series.keys()]));
  return Object.fromEntries(
    [...names]
      .filter((name) => pattern.test(name))
      .map((name) => [
        name.replace(/^[^{]*/, ""),
        after
          .map((series, i) =>
            Math.max(0, (series.get(name) ?? 0) - (before[i]!.get(name) ?? 0)),
          )
          .reduce((total, value) => total + value, 0),
      ]),
  );
}
