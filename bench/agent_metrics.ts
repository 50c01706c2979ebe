/** Reads `/metrics` of processes and compares two readings. */

import { readText } from "./bench_http.ts";
import { processUrl } from "./fleet_hosts.ts";
import type { PlannedHost } from "./fleet_plan.ts";

type Series = ReadonlyMap<string, number>;

/** One reading for each host; empty for a host that did not answer. */
export type Metrics = readonly Series[];

export function readAllMetrics(hosts: readonly PlannedHost[]) {
  return Promise.all(hosts.map(readMetrics));
}

/** Values of one host's metrics by name and labels. */
async function readMetrics(host: PlannedHost): Promise<Series> {
  try {
    const text = await readText(`${processUrl(host)}/metrics`);
    return new Map(
      text
        .split("\n")
        .filter((line) => line !== "" && !line.startsWith("#"))
        .map((line) => {
          const at = line.lastIndexOf(" ");
          return [line.slice(0, at), Number(line.slice(at + 1))] as const;
        }),
    );
  } catch {
    return new Map();
  }
}

/** Growth of the series that match, by host; 0 where a process ended. */
export function sumGrowthByHost(
  before: Metrics,
  after: Metrics,
  pattern: RegExp,
): readonly number[] {
  const sum = (series: Series) =>
    [...series]
      .filter(([name]) => pattern.test(name))
      .reduce((total, [, value]) => total + value, 0);
  return after.map((series, i) => Math.max(0, sum(series) - sum(before[i]!)));
}

/** Growth of the series that match, by labels over all hosts. */
export function sumGrowthByLabels(
  before: Metrics,
  after: Metrics,
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
