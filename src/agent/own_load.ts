/**
 * Recent samples of this agent's own requests in flight. A state report lags,
 * so it is compared with the load of the time at which it was made.
 */

import type { Admission } from "../admission/mod.ts";

const KEPT_MS = 10_000;

export interface OwnLoad {
  sample(): void;
  /** The lower of the samples before and after this time. */
  readAt(atMs: number): number;
}

export function createOwnLoad(
  admission: Pick<Admission, "inFlight">,
  wallMs: () => number,
): OwnLoad {
  let samples: readonly { readonly atMs: number; readonly count: number }[] =
    [];
  return {
    sample() {
      const nowMs = wallMs();
      samples = [
        ...samples.filter(({ atMs }) => atMs > nowMs - KEPT_MS),
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
