/** Creates the JSON report of a burst: transfer costs and callers' outcomes. */

import { sumIncreaseByHost, sumIncreaseByLabels } from "./agent_metrics.ts";
import type { MetricsSnapshot } from "./agent_metrics.ts";
import { summariseTimes } from "./replica_times.ts";
import type { ReplicaTimes } from "./replica_times.ts";
import { computeLowerBoundMs, DATA_CENTRES } from "./burst_plan.ts";
import type { BurstSize } from "./burst_plan.ts";
import type { CallResult } from "./call.ts";
import type { PlannedHost } from "./fleet_plan.ts";
import type { RoleUsage } from "./role_usage.ts";
import {
  computePercentiles,
  countDetails,
  countOutcomes,
} from "./call_statistics.ts";

export interface BurstCounters {
  readonly metrics: MetricsSnapshot;
  readonly storeBytes: number;
}

export interface BurstRecord {
  readonly size: BurstSize;
  readonly hosts: readonly PlannedHost[];
  readonly timesByHost: ReadonlyMap<string, ReplicaTimes>;
  readonly before: BurstCounters;
  readonly after: BurstCounters;
  /** Counters read after the requests of a withdrawn version had finished. */
  readonly afterWithdrawal?: BurstCounters;
  readonly results: readonly CallResult[];
  readonly beforeStartMs: number;
  readonly burstStartMs: number;
  readonly burstEndMs: number;
  readonly usage: Readonly<Record<string, RoleUsage>>;
}

export function describeBurst(record: BurstRecord) {
  const { size, timesByHost, before, after, afterWithdrawal } = record;
  const { modelBytes } = size;
  const lowerBoundMs = computeLowerBoundMs(size);
  const serving = summariseTimes(
    [...timesByHost.values()].map((times) => times.servingMs),
  );
  const complete = summariseTimes(
    [...timesByHost.values()].map((times) => times.completeMs),
  );
  const sumByLabels = (pattern: RegExp) =>
    sumIncreaseByLabels(before.metrics, after.metrics, pattern);
  return {
    time_to_serving_ms: serving,
    time_to_whole_ms: complete,
    not_serving: [...timesByHost]
      .filter(([, times]) => times.servingMs === undefined)
      .map(([name]) => name),
    ratio_to_lower_bound: {
      serving: serving.all / lowerBoundMs,
      whole: complete.all / lowerBoundMs,
    },
    origin_copies: (after.storeBytes - before.storeBytes) / modelBytes,
    ...(afterWithdrawal && {
      origin_copies_after_withdrawal:
        (after.storeBytes - afterWithdrawal.storeBytes) / modelBytes,
    }),
    ...describeCopies(record),
    ...describeLiveRequests(record),
    takeovers: sumByLabels(/weights_takeovers_total/),
    corrupt: sumByLabels(/weights_corrupt_total/),
    failed_chunk_requests: sumByLabels(/weights_failed_requests_total/),
    refused_uploads: sumByLabels(/weights_refused_uploads_total/),
    usage: record.usage,
  };
}

function describeCopies({ size, hosts, before, after }: BurstRecord) {
  const countCopies = (pattern: RegExp) =>
    sumIncreaseByHost(before.metrics, after.metrics, pattern).map(
      (bytes) => bytes / size.modelBytes,
    );
  const externalCopies = countCopies(
    /weights_received_bytes.*from="(store|region|other_region)"/,
  );
  const copiesByDataCentre = DATA_CENTRES.map(({ name }) =>
    hosts
      .map((host, i) => (host.dataCentre === name ? externalCopies[i]! : 0))
      .reduce((sum, copies) => sum + copies, 0),
  );
  return {
    max_host_copies_received: Math.max(
      ...countCopies(/weights_received_bytes/),
    ),
    max_host_copies_sent: Math.max(...countCopies(/weights_sent_bytes/)),
    cross_data_centre_copies: Math.max(...copiesByDataCentre),
  };
}

function describeLiveRequests(record: BurstRecord) {
  const { results, beforeStartMs, burstStartMs, burstEndMs } = record;
  const completeMs = [...record.timesByHost.values()].map(
    (times) => times.completeMs ?? Infinity,
  );
  // Time at which the last replica held the complete version.
  const allCompleteAtMs = Math.min(
    burstEndMs,
    burstStartMs + Math.max(...completeMs),
  );
  const computeFirstTokenP95 = (fromMs: number, toMs: number) =>
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
    first_token_before_p95_ms: computeFirstTokenP95(
      beforeStartMs,
      burstStartMs,
    ),
    first_token_during_p95_ms: computeFirstTokenP95(burstStartMs, burstEndMs),
    first_token_transfer_p95_ms: computeFirstTokenP95(
      burstStartMs,
      allCompleteAtMs,
    ),
    first_token_switch_p95_ms: computeFirstTokenP95(
      allCompleteAtMs,
      burstEndMs,
    ),
  };
}
