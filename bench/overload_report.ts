/** Creates the report of the overload measurement and lists missed targets. */

import type { BookingAudit } from "./booking_audit.ts";
import type { EntryCounters } from "./entry_counters.ts";
import type { Recovery } from "./recovery.ts";
import {
  computePercentiles,
  countDetails,
  countOutcomes,
  listFirstTokenMs,
} from "./call_statistics.ts";
import type { LanguageResult } from "./trial_load.ts";

const MIN_GOODPUT_SHARE = 0.9;
/** Goodput above this share of the capacity means that the capacity is wrong. */
const MAX_CAPACITY_SHARE = 1.05;
const RETRY_BUDGET_RATIO = 0.1;
const MIN_RETRY_BUDGET_PER_S = 1;

export function describePriority(
  results: readonly LanguageResult[],
  priority: number,
) {
  const priorityResults = results.filter(
    (result) => result.priority === priority,
  );
  const refused = priorityResults.filter(
    (result) => result.outcome === "not_run",
  );
  const outcomes = countOutcomes(priorityResults);
  return {
    sent: priorityResults.length,
    answered_share:
      outcomes.answered_whole / Math.max(1, priorityResults.length),
    first_token_p95_ms: computePercentiles(listFirstTokenMs(priorityResults))
      .p95,
    refusal_p95_ms: computePercentiles(refused.map((r) => r.totalMs)).p95,
    ...outcomes,
    reasons: countDetails(priorityResults),
  };
}

export type PriorityReport = ReturnType<typeof describePriority>;

export interface RetryInput {
  readonly counters: EntryCounters;
  /** Requests sent between the two readings of the counters. */
  readonly requests: number;
  readonly entries: number;
  readonly durationMs: number;
}

/** Continued streams are charged to the budget, but never denied. */
export function describeRetries({
  counters,
  requests,
  entries,
  durationMs,
}: RetryInput) {
  const { retries, continuations, denied } = counters;
  const minBudget = entries * MIN_RETRY_BUDGET_PER_S * (durationMs / 1000);
  return {
    requests,
    retries,
    continuations,
    denied,
    budget: Math.max(RETRY_BUDGET_RATIO * requests, minBudget),
  };
}

export interface OverloadFigures {
  readonly goodputShare: number;
  readonly measuredCapacityShare: number;
  /** Share of the high-priority load that the remaining engines can serve. */
  readonly achievableHighShare: number;
  readonly high: PriorityReport;
  readonly low: PriorityReport;
  readonly retries: ReturnType<typeof describeRetries>;
  readonly recovery: Recovery;
  readonly outcomes: Readonly<Record<"wrong" | "cut" | "unknown", number>>;
  readonly audit: BookingAudit;
}

/** Faults of the measurement itself, which make the run invalid. */
export function listMeasurementFaults(
  figures: OverloadFigures,
): readonly string[] {
  const { goodputShare, measuredCapacityShare } = figures;
  return [
    goodputShare > MAX_CAPACITY_SHARE && "goodput above the capacity",
    measuredCapacityShare > MAX_CAPACITY_SHARE &&
      "measured capacity above the computed capacity",
  ].filter((fault) => fault !== false);
}

export function listMissedTargets(figures: OverloadFigures): readonly string[] {
  const { high, low, retries, recovery, outcomes, audit } = figures;
  const minHighShare = MIN_GOODPUT_SHARE * figures.achievableHighShare;
  return [
    figures.goodputShare < MIN_GOODPUT_SHARE && "goodput",
    high.answered_share < minHighShare && "high priority not answered",
    high.answered_share <= low.answered_share &&
      "high priority not answered more often than low priority",
    retries.retries > retries.budget && "retries over the budget",
    recovery.answeredMs === null && "answers did not recover",
    recovery.firstTokenMs === null && "first-token times did not recover",
    outcomes.wrong > 0 && "wrong answers",
    outcomes.cut > 0 && "answers cut off without an error",
    outcomes.unknown > 0 && "answers with an unknown outcome",
    audit.duplicateRuns > 0 && "duplicate runs",
    audit.falseNotRun > 0 && "refused bookings that ran",
    audit.missing > 0 && "answered bookings that did not run",
  ].filter((target) => target !== false);
}
