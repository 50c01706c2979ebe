/**
 * The request limit that an endpoint names in its reports to the agent on its
 * host, which learns of it before most entries do. Reports may lack what the
 * responses to requests say, so one without a limit ends it only if an earlier
 * report of the same incarnation has named it.
 */

import type { StatedLimits } from "../limits/mod.ts";
import type { EndpointReport } from "./endpoint_api.ts";

export interface ReportedLimit {
  /** Returns true if another rate is believed now. */
  onReport(report: EndpointReport, sentAtMs: number): boolean;
}

export interface ReportedLimitOptions {
  /** Of the endpoint. */
  readonly address: string;
  readonly statedLimits: StatedLimits;
  readonly nowMs: () => number;
}

export function createReportedLimit(
  options: ReportedLimitOptions,
): ReportedLimit {
  const { address, statedLimits, nowMs } = options;
  let hasNamed = false;
  let namedByStartMs: number | undefined;

  return {
    onReport({ startedAtMs, requestLimitPerS: ratePerS }, sentAtMs) {
      if (ratePerS === undefined) return false;
      if (ratePerS !== Infinity) {
        hasNamed = true;
        namedByStartMs = startedAtMs;
      }
      if (!hasNamed || namedByStartMs !== startedAtMs) return false;
      return statedLimits.note(
        { address, startedAtMs },
        { ratePerS, sentAtMs, heardAtMs: nowMs() },
        "report",
      );
    },
  };
}
