/** The figures of one run. */

import type { FinishedCall } from "./calls.ts";
import type { RunResult } from "./run_pattern.ts";

export interface RunFigures {
  /** Worth earned as a share of the worth of all calls served in time. */
  readonly worth: number;
  readonly worthByRoute: Readonly<Record<string, number>>;
  readonly servedByRoute: Readonly<Record<string, number>>;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  readonly unserved: number;
  /** Of the streams that were served. */
  readonly firstEventP50Ms: number;
  readonly firstEventP95Ms: number;
  readonly plainP95Ms: number;
  /** Share of the calls that were refused more than once. */
  readonly refusedAgain: number;
  readonly herdP95: number;
  /** Median, which other work on the machine hardly changes. */
  readonly decisionUs: number;
  readonly slowPlainShare: number;
}

export function computeFigures(run: RunResult): RunFigures {
  const { calls } = run;
  const names = [...new Set(calls.map(({ request }) => request.route.name))];
  const byRoute = (compute: (calls: readonly FinishedCall[]) => number) =>
    Object.fromEntries(
      names.sort().map((name) => {
        const ofRoute = ({ request }: FinishedCall) =>
          request.route.name === name;
        return [name, compute(calls.filter(ofRoute))];
      }),
    );
  const share = (test: (call: FinishedCall) => boolean) =>
    calls.filter(test).length / calls.length;
  const shareOf = (outcome: FinishedCall["outcome"]) =>
    share((call) => call.outcome === outcome);
  const refused = shareOf("refused");
  const failed = shareOf("failed");
  const streams = listTimes(calls, "model");
  return {
    worth: computeWorth(calls),
    worthByRoute: byRoute(computeWorth),
    servedByRoute: byRoute(
      (some) =>
        some.filter(({ firstEventMs }) => firstEventMs !== undefined).length /
        some.length,
    ),
    inTime: shareOf("in_time"),
    late: shareOf("late"),
    refused,
    failed,
    unserved: refused + failed,
    firstEventP50Ms: computePercentile(streams, 0.5),
    firstEventP95Ms: computePercentile(streams, 0.95),
    plainP95Ms: computePercentile(listTimes(calls, "plain"), 0.95),
    refusedAgain: share(({ refusals }) => refusals > 1),
    herdP95: computePercentile(run.herds, 0.95),
    decisionUs: computePercentile(run.decisionsUs, 0.5),
    slowPlainShare: run.slowPlainShare,
  };
}

function computeWorth(calls: readonly FinishedCall[]): number {
  const earned = calls.reduce((sum, { worth }) => sum + worth, 0);
  const owed = calls.reduce((sum, call) => sum + call.request.worthInTime, 0);
  return earned / owed;
}

function listTimes(
  calls: readonly FinishedCall[],
  service: "model" | "plain",
): readonly number[] {
  return calls
    .filter(({ request }) => request.route.service === service)
    .flatMap(({ firstEventMs }) => firstEventMs ?? []);
}

/** NaN for no values. */
export function computePercentile(
  values: readonly number[],
  share: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(sorted.length * share) - 1;
  return sorted[Math.max(0, index)] ?? NaN;
}

export function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
