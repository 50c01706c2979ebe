/** How soon service is normal again after a burst, and stays so. */

import type { CallResult } from "./call.ts";
import { computePercentiles, listFirstTokenMs } from "./tally.ts";

const WINDOW_MS = 500;

export interface RecoveryOptions {
  readonly fromMs: number;
  /** First-token time at p95 that counts as normal. */
  readonly normalP95Ms: number;
}

/** Each is null if service was still not normal in the last window. */
export interface Recovery {
  /** Time from which on every request was answered whole. */
  readonly answeredMs: number | null;
  /** Time from which on first tokens came as fast as normally. */
  readonly firstTokenMs: number | null;
}

/** Looks at windows of requests by the time at which they were sent. */
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
    answeredMs: findLastingMs(windows, (window) =>
      window.every(({ outcome }) => outcome === "answered_whole"),
    ),
    firstTokenMs: findLastingMs(
      windows,
      (window) =>
        computePercentiles(listFirstTokenMs(window)).p95 <= normalP95Ms,
    ),
  };
}

function findLastingMs(
  windows: readonly (readonly CallResult[])[],
  isNormal: (window: readonly CallResult[]) => boolean,
): number | null {
  const last = windows.findLastIndex((window) => !isNormal(window));
  return last === windows.length - 1 ? null : (last + 1) * WINDOW_MS;
}
