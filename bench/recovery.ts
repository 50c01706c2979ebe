/** Finds the time after a burst from which on service stays normal. */

import type { CallResult } from "./call.ts";
import { computePercentiles, listFirstTokenMs } from "./call_statistics.ts";

const WINDOW_MS = 500;

export interface RecoveryOptions {
  readonly fromMs: number;
  /** Largest p95 first-token time that counts as normal. */
  readonly normalP95Ms: number;
}

/** Each is null if service was not normal in the last window. */
export interface Recovery {
  /** Time from which on every request received a complete response. */
  readonly answeredMs: number | null;
  /** Time from which on first-token times were normal. */
  readonly firstTokenMs: number | null;
}

/** Groups requests into windows by the time at which they were sent. */
export function findRecovery(
  results: readonly CallResult[],
  { fromMs, normalP95Ms }: RecoveryOptions,
): Recovery {
  const lastMs = Math.max(...results.map(({ sentAtMs }) => sentAtMs));
  const count = Math.max(1, Math.ceil((lastMs - fromMs) / WINDOW_MS));
  const windows = Array.from({ length: count }, (_, index) => {
    const startMs = fromMs + index * WINDOW_MS;
    return results.filter(
      ({ sentAtMs }) => sentAtMs >= startMs && sentAtMs < startMs + WINDOW_MS,
    );
  });
  return {
    answeredMs: findStableFromMs(windows, (window) =>
      window.every(({ outcome }) => outcome === "answered_whole"),
    ),
    firstTokenMs: findStableFromMs(
      windows,
      (window) =>
        computePercentiles(listFirstTokenMs(window)).p95 <= normalP95Ms,
    ),
  };
}

function findStableFromMs(
  windows: readonly (readonly CallResult[])[],
  isNormal: (window: readonly CallResult[]) => boolean,
): number | null {
  const lastAbnormal = windows.findLastIndex((window) => !isNormal(window));
  return lastAbnormal === windows.length - 1
    ? null
    : (lastAbnormal + 1) * WINDOW_MS;
}
