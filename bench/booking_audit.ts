/** Compares the outcomes of bookings that callers saw with the ledgers' runs. */

import { request } from "undici";
import type { CallResult } from "./call.ts";

export interface BookingAudit {
  /** Keys that ran more than once. */
  readonly duplicateRuns: number;
  /** Reported as not run although a ledger ran them. */
  readonly falseNotRun: number;
  /** Reported as answered although no ledger ran them. */
  readonly missing: number;
}

export async function auditBookings(
  ledgerUrls: readonly string[],
  results: readonly CallResult[],
): Promise<BookingAudit> {
  const runs = new Map<string, number>();
  for (const url of ledgerUrls) {
    const { body } = await request(`${url}/admin/runs`);
    const counts = (await body.json()) as Record<string, number>;
    Object.entries(counts).forEach(([key, count]) =>
      runs.set(key, (runs.get(key) ?? 0) + count),
    );
  }
  const countRuns = (result: CallResult) =>
    runs.get(result.idempotencyKey!) ?? 0;
  const keysWithOtherOutcome = new Set(
    results
      .filter((result) => result.outcome !== "not_run")
      .map((result) => result.idempotencyKey),
  );
  return {
    duplicateRuns: [...runs.values()].filter((count) => count > 1).length,
    falseNotRun: results.filter(
      (result) =>
        result.outcome === "not_run" &&
        countRuns(result) > 0 &&
        !keysWithOtherOutcome.has(result.idempotencyKey),
    ).length,
    missing: results.filter(
      (result) =>
        result.outcome === "answered_whole" && countRuns(result) === 0,
    ).length,
  };
}
