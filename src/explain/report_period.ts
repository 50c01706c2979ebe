/**
 * Summarises the logs of a period: outcomes by cause, and lost dependencies.
 */

import { describeCause } from "./explain_request.ts";
import { sortByTime } from "./parse_records.ts";
import type { LogRecord } from "./parse_records.ts";

export interface OutcomeRow {
  readonly outcome: string;
  /** Empty for calls that were answered. */
  readonly reason: string;
  readonly calls: number;
  readonly cause: string | undefined;
}

export interface DependencyLoss {
  readonly host: string;
  readonly dependency: string;
  /** ISO 8601, by the host's clock. */
  readonly lostAt: string;
  /** Undefined if the logs don't show that the dependency was regained. */
  readonly lostForMs: number | undefined;
}

export interface PeriodReport {
  readonly from: string | undefined;
  readonly to: string | undefined;
  /** Most frequent first. */
  readonly outcomes: readonly OutcomeRow[];
  readonly losses: readonly DependencyLoss[];
}

/** Final outcome of one call. */
export interface CallOutcome {
  readonly time: string;
  readonly outcome: string;
  readonly reason: string;
}

/** Log messages that report the loss of a dependency and its recovery. */
const DEPENDENCIES = [
  {
    name: "platform's store",
    lost: "lost the platform's store",
    regained: "regained the platform's store",
  },
  {
    name: "peer",
    lost: "lost the connection to a peer",
    regained: "connected to a peer",
  },
] as const;

export function reportPeriod(records: readonly LogRecord[]): PeriodReport {
  const sorted = sortByTime(records);
  return {
    from: sorted[0]?.time,
    to: sorted.at(-1)?.time,
    outcomes: countOutcomes(listCallOutcomes(sorted)),
    losses: findLosses(sorted),
  };
}

export function listCallOutcomes(records: readonly LogRecord[]) {
  return records.flatMap(
    ({ time, message, fields }): readonly CallOutcome[] => {
      const reason = String(fields["reason"] ?? "");
      if (message === "request refused") {
        return [{ time, outcome: "refused", reason }];
      }
      if (message !== "call ended") return [];
      return [{ time, outcome: String(fields["outcome"]), reason }];
    },
  );
}

function countOutcomes(calls: readonly CallOutcome[]): readonly OutcomeRow[] {
  const counts = new Map<string, { call: CallOutcome; calls: number }>();
  calls.forEach((call) => {
    const key = `${call.outcome} ${call.reason}`;
    const found = counts.get(key) ?? { call, calls: 0 };
    counts.set(key, { ...found, calls: found.calls + 1 });
  });
  return [...counts.values()]
    .map(({ call, calls }) => ({
      outcome: call.outcome,
      reason: call.reason,
      calls,
      cause: describeCause(call.outcome, call.reason),
    }))
    .sort((a, b) => b.calls - a.calls);
}

/** Expects records in chronological order. */
function findLosses(records: readonly LogRecord[]): readonly DependencyLoss[] {
  return DEPENDENCIES.flatMap(({ name, lost, regained }) =>
    records.flatMap((record, index) => {
      if (record.message !== lost) return [];
      const { hostname, time, fields } = record;
      const peer = fields["peer"];
      const recovery = records.find(
        (laterRecord, laterIndex) =>
          laterIndex > index &&
          laterRecord.message === regained &&
          laterRecord.hostname === hostname &&
          laterRecord.fields["peer"] === peer,
      );
      return [
        {
          host: hostname,
          dependency: peer === undefined ? name : `${name} ${String(peer)}`,
          lostAt: time,
          lostForMs: recovery && Date.parse(recovery.time) - Date.parse(time),
        },
      ];
    }),
  );
}
