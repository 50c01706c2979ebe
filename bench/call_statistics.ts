/** Computes counts and percentiles over call results. */

import * as hdr from "hdr-histogram-js";
import type { CallOutcome, CallResult } from "./call.ts";

export type OutcomeCounts = Readonly<Record<CallOutcome, number>>;

export function countOutcomes(results: readonly CallResult[]): OutcomeCounts {
  const count = (outcome: CallOutcome) =>
    results.filter((result) => result.outcome === outcome).length;
  return {
    answered_whole: count("answered_whole"),
    not_run: count("not_run"),
    unknown: count("unknown"),
    wrong: count("wrong"),
    cut: count("cut"),
  };
}

/** Number of results for each outcome and detail, except complete responses. */
export function countDetails(
  results: readonly CallResult[],
): Readonly<Record<string, number>> {
  return results
    .filter((result) => result.outcome !== "answered_whole")
    .map((result) => `${result.outcome}: ${result.detail}`)
    .reduce<Record<string, number>>(
      (counts, key) => ({ ...counts, [key]: (counts[key] ?? 0) + 1 }),
      {},
    );
}

export interface Percentiles {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

export function computePercentiles(valuesMs: readonly number[]): Percentiles {
  const histogram = hdr.build({
    highestTrackableValue: 600_000_000,
    numberOfSignificantValueDigits: 3,
  });
  valuesMs.forEach((value) =>
    histogram.recordValue(Math.max(0, Math.round(value * 1000))),
  );
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile) / 1000;
  return { p50: at(50), p95: at(95), p99: at(99) };
}

export function listFirstTokenMs(
  results: readonly CallResult[],
): readonly number[] {
  return results.flatMap((result) =>
    result.firstTokenMs === undefined ? [] : [result.firstTokenMs],
  );
}
