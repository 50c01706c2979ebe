/** Exponentially weighted moving average of an endpoint's load. */

/** Longer than several requests and much shorter than a switch. */
const TIME_CONSTANT_MS = 2_000;

export interface MeanLoad {
  add(load: number): void;
  value(): number;
}

export function createMeanLoad(monotonicMs: () => number): MeanLoad {
  let mean: number | undefined;
  let lastAddedMs = monotonicMs();
  return {
    value: () => mean ?? 0,
    add(load) {
      const nowMs = monotonicMs();
      const weight = 1 - Math.exp((lastAddedMs - nowMs) / TIME_CONSTANT_MS);
      mean = mean === undefined ? load : mean + (load - mean) * weight;
      lastAddedMs = nowMs;
    },
  };
}
