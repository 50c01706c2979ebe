/** What a burst cost and what callers saw, as the JSON line gives it. */

import { sumGrowthByHost, sumGrowthByLabels } from "./agent_metrics.ts";
import type { Metrics } from "./agent_metrics.ts";
import { describeTimes } from "./burst_arrivals.ts";
import type { Arrival } from "./burst_arrivals.ts";
import { computeLowerBoundMs, DATA_CENTRES } from "./burst_plan.ts";
import type { BurstSize } from "./burst_plan.ts";
import type { CallResult } from "./call.ts";
import type { PlannedHost } from "./fleet_plan.ts";
import type { RoleUsage } from "./role_usage.ts";
import { computePercentiles, countDetails, countOutcomes } from "./tally.ts";

export interface BurstCounters {
  readonly metrics: Metrics;
  readonly storeBytes: number;
}

export interface BurstRecord {
  readonly size: BurstSize;
  readonly hosts: readonly PlannedHost[];
  readonly arrivals: ReadonlyMap<string, Arrival>;
  readonly before: BurstCounters;
  readonly after: BurstCounters;
  /** Some time after the version was withdrawn. */
  readonly withdrawnAt?: BurstCounters;
  readonly results: readonly CallResult[];
  readonly beforeAtMs: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  readonly usage: Readonly<Record<string, RoleUsage>>;
}

export function describeBurst(record: BurstRecord) {
  const { size, arrivals, before, after, withdrawnAt } = record;
  const { modelBytes } = size;
  const lowerBoundMs = computeLowerBoundMs(size);
  const serving = describeTimes([...arrivals.values()].map((a) => a.servingMs));
  const whole = describeTimes([...arrivals.values()].map((a) => a.wholeMs));
  const sumByLabels = (pattern: RegExp) =>
    sumGrowthByLabels(before.metrics, after.metrics, pattern);
  return {
    time_to_serving_ms: serving,
    time_to_whole_ms: whole,
    not_serving: [...arrivals]
      .filter(([, arrival]) => arrival.servingMs === undefined)
      .map(([name]) => name),
    ratio_to_lower_bound: {
      serving: serving.all / lowerBoundMs,
      whole: whole.all / lowerBoundMs,
    },
    origin_copies: (after.storeBytes - before.storeBytes) / modelBytes,
    ...(withdrawnAt && {
      origin_copies_after_withdrawal:
        (after.storeBytes - withdrawnAt.storeBytes) / modelBytes,
    }),
    ...describeCopies(record),
    ...describeLive(record),
    takeovers: sumByLabels(/weights_takeovers_total/),
    corrupt: sumByLabels(/weights_corrupt_total/),
    failed_chunk_requests: sumByLabels(/weights_failed_requests_total/),
    refused_uploads: sumByLabels(/weights_refused_uploads_total/),
    usage: record.usage,
  };
}

function describeCopies({ size, hosts, before, after }: BurstRecord) {
  const countCopies = (pattern: RegExp) =>
    sumGrowthByHost(before.metrics, after.metrics, pattern).map(
      (bytes) => bytes / size.modelBytes,
    );
  const fromOutside = countCopies(
    /weights_received_bytes.*from="(store|region|other_region)"/,
  );
  const crossed = DATA_CENTRES.map(({ name }) =>
    hosts
      .map((host, i) => (host.dataCentre === name ? fromOutside[i]! : 0))
      .reduce((sum, copies) => sum + copies, 0),
  );
  return {
    max_host_copies_received: Math.max(
      ...countCopies(/weights_received_bytes/),
    ),
    max_host_copies_sent: Math.max(...countCopies(/weights_sent_bytes/)),
    cross_data_centre_copies: Math.max(...crossed),
  };
}

function describeLive(record: BurstRecord) {
  const { results, beforeAtMs, startedAtMs, endedAtMs } = record;
  const wholeMs = [...record.arrivals.values()].map(
    (a) => a.wholeMs ?? Infinity,
  );
  // When the last replica held the whole version.
  const wholeAtMs = Math.min(endedAtMs, startedAtMs + Math.max(...wholeMs));
  const firstTokenP95 = (fromMs: number, toMs: number) =>
    computePercentiles(
      results
        .filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < toMs)
        .flatMap((result) => result.firstTokenMs ?? []),
    ).p95;
  const { wrong, cut, not_run, unknown } = countOutcomes(results);
  return {
    live_requests: results.length,
    wrong,
    cut,
    not_run,
    unknown,
    reasons: countDetails(results),
    first_token_before_p95_ms: firstTokenP95(beforeAtMs, startedAtMs),
    first_token_during_p95_ms: firstTokenP95(startedAtMs, endedAtMs),
    first_token_transfer_p95_ms: firstTokenP95(startedAtMs, wholeAtMs),
    first_token_switch_p95_ms: firstTokenP95(wholeAtMs, endedAtMs),
  };
}
