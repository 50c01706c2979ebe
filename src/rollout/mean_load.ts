/** Recent mean of an endpoint's load, with more weight on newer samples. */

/** Several requests long, and short beside the time of a switch. */
const TIME_CONSTANT_MS = 2_000;

export interface MeanLoad {
  add(load: number): void;
  value(): number;
}

export function createMeanLoad(monotonicMs: () => number): MeanLoad {
  let mean: number | undefined;
  let addedMs = monotonicMs();
  return {
    value: () => mean ?? 0,
    add(load) {
      const nowMs = monotonicMs();
      const weight = 1 - Math.exp((addedMs - nowMs) / TIME_CONSTANT_MS);
      mean = mean === undefined ? load : mean + (load - mean) * weight;
      addedMs = nowMs;
    },
  };
}
