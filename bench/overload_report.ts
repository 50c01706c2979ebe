/** What the overload measure reports, and which targets a run has missed. */

import type { BookingAudit } from "./booking_audit.ts";
import type { EntryCounters } from "./entry_counters.ts";
import type { Recovery } from "./recovery.ts";
import {
  computePercentiles,
  countDetails,
  countOutcomes,
  listFirstTokenMs,
} from "./tally.ts";
import type { LanguageResult } from "./trial_load.ts";

const MIN_GOODPUT_SHARE = 0.9;
/** More than this share of the capacity shows that the capacity is wrong. */
const MAX_CAPACITY_SHARE = 1.05;
const RETRY_SHARE = 0.1;
const RETRIES_PER_S = 1;

export function describePriority(
  results: readonly LanguageResult[],
  priority: number,
) {
  const own = results.filter((result) => result.priority === priority);
  const refused = own.filter((result) => result.outcome === "not_run");
  const outcomes = countOutcomes(own);
  return {
    sent: own.length,
    answered_share: outcomes.answered_whole / Math.max(1, own.length),
    first_token_p95_ms: computePercentiles(listFirstTokenMs(own)).p95,
    refusal_p95_ms: computePercentiles(refused.map((r) => r.totalMs)).p95,
    ...outcomes,
    reasons: countDetails(own),
  };
}

export type PriorityReport = ReturnType<typeof describePriority>;

export interface RetryInput {
  readonly counters: EntryCounters;
  /** Sent while the counters ran. */
  readonly requests: number;
  readonly entries: number;
  readonly durationMs: number;
}

/** Continued streams count against the budget, but are never denied. */
export function describeRetries({
  counters,
  requests,
  entries,
  durationMs,
}: RetryInput) {
  const { retries, continuations, denied } = counters;
  const minimum = entries * RETRIES_PER_S * (durationMs / 1000);
  return {
    requests,
    retries,
    continuations,
    denied,
    budget: Math.max(RETRY_SHARE * requests, minimum),
  };
}

export interface OverloadFigures {
  readonly goodputShare: number;
  readonly measuredShare: number;
  /** Share of the high-priority load that the rest of the fleet can serve. */
  readonly possibleHighShare: number;
  readonly high: PriorityReport;
  readonly low: PriorityReport;
  readonly retries: ReturnType<typeof describeRetries>;
  readonly recovery: Recovery;
  readonly outcomes: Readonly<Record<"wrong" | "cut" | "unknown", number>>;
  readonly audit: BookingAudit;
}

/** Faults of the measure itself; a run with one proves nothing. */
export function listFaults(figures: OverloadFigures): readonly string[] {
  const { goodputShare, measuredShare } = figures;
  return [
    goodputShare > MAX_CAPACITY_SHARE && "goodput above the capacity",
    measuredShare > MAX_CAPACITY_SHARE &&
      "measured capacity above the one worked out",
  ].filter((fault) => fault !== false);
}

export function listMisses(figures: OverloadFigures): readonly string[] {
  const { high, low, retries, recovery, outcomes, audit } = figures;
  const highShare = MIN_GOODPUT_SHARE * figures.possibleHighShare;
  return [
    figures.goodputShare < MIN_GOODPUT_SHARE && "goodput",
    high.answered_share < highShare && "high priority not answered",
    high.answered_share <= low.answered_share && "low priority served first",
    retries.retries > retries.budget && "retries over the budget",
    recovery.answeredMs === null && "no recovery of answers",
    recovery.firstTokenMs === null && "no recovery of first tokens",
    outcomes.wrong > 0 && "wrong answers",
    outcomes.cut > 0 && "answers cut without a word",
    outcomes.unknown > 0 && "answers lost",
    audit.duplicateRuns > 0 && "duplicate runs",
    audit.falseNotRun > 0 && "refused bookings that ran",
    audit.missing > 0 && "answered bookings that did not run",
  ].filter((miss) => miss !== false);
}
