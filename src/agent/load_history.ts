/**
 * Recent samples of the number of this agent's requests in flight. The engine's
 * state reports lag, so each is compared with the load at the time it was made.
 */

import type { Admission } from "../admission/mod.ts";

const RETENTION_MS = 10_000;

export interface LoadHistory {
  sample(): void;
  /** The lower of the last sample up to this time and the next one. */
  readAt(atMs: number): number;
}

export function createLoadHistory(
  admission: Pick<Admission, "inFlight">,
  wallMs: () => number,
): LoadHistory {
  let samples: readonly { readonly atMs: number; readonly count: number }[] =
    [];
  return {
    sample() {
      const nowMs = wallMs();
      samples = [
        ...samples.filter(({ atMs }) => atMs > nowMs - RETENTION_MS),
        { atMs: nowMs, count: admission.inFlight() },
      ];
    },
    readAt(atMs) {
      const before = samples.findLast((sample) => sample.atMs <= atMs);
      const after = samples.find((sample) => sample.atMs > atMs);
      return Math.min(before?.count ?? 0, after?.count ?? admission.inFlight());
    },
  };
}
