/** Compares what callers were told of bookings with what the ledgers ran. */

import { request } from "undici";
import type { CallResult } from "./call.ts";

export interface BookingAudit {
  readonly duplicateRuns: number;
  /** Told "not run" although it ran. */
  readonly falseNotRun: number;
  /** Told "answered" although no ledger ran it. */
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
  const ran = (result: CallResult) => runs.get(result.idempotencyKey!) ?? 0;
  const answered = new Set(
    results
      .filter((result) => result.outcome !== "not_run")
      .map((result) => result.idempotencyKey),
  );
  return {
    duplicateRuns: [...runs.values()].filter((count) => count > 1).length,
    falseNotRun: results.filter(
      (result) =>
        result.outcome === "not_run" &&
        ran(result) > 0 &&
        !answered.has(result.idempotencyKey),
    ).length,
    missing: results.filter(
      (result) => result.outcome === "answered_whole" && ran(result) === 0,
    ).length,
  };
}
