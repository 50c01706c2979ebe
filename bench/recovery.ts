/** How soon service is normal again after a burst, and stays so. */

import type { CallResult } from "./call.ts";
import { computePercentiles, listFirstTokenMs } from "./tally.ts";

const WINDOW_MS = 500;

export interface RecoveryOptions {
  readonly fromMs: number;
  /** First-token time at p95 that counts as normal. */
  readonly normalP95Ms: number;
}

/**
 * Time until the first window from which on every request was answered whole
 * and with a normal first-token time; null if the last window is not normal.
 */
export function findRecoveryMs(
  results: readonly CallResult[],
  { fromMs, normalP95Ms }: RecoveryOptions,
): number | null {
  const lastMs = Math.max(...results.map(({ sentAtMs }) => sentAtMs));
  const count = Math.max(1, Math.ceil((lastMs - fromMs) / WINDOW_MS));
  const windows = Array.from({ length: count }, (_, index) => {
    const startMs = fromMs + index * WINDOW_MS;
    return results.filter(
      ({ sentAtMs }) => sentAtMs >= startMs && sentAtMs < startMs + WINDOW_MS,
    );
  });
  const lastBad = windows.findLastIndex((window) => {
    const { p95 } = computePercentiles(listFirstTokenMs(window));
    const isWhole = window.every((r) => r.outcome === "answered_whole");
    return !isWhole || p95 > normalP95Ms;
  });
  return lastBad === windows.length - 1 ? null : (lastBad + 1) * WINDOW_MS;
}
