/**
 * A latency distribution in an HDR histogram with a resolution of 1
 * microsecond.
 */

// The package's main module also loads its codecs and WebAssembly, which takes
// longer than all other work of a process's start.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";

const LOWEST_US = 1;
const HIGHEST_US = 600_000_000;
const SIGNIFICANT_DIGITS = 3;

export interface LatencyHistogram {
  readonly name: string;
  record(durationMs: number): void;
  /** Value in milliseconds at a percentile from 0 to 100. */
  percentileMs(percentile: number): number;
  count(): number;
  sumMs(): number;
}

export function createLatencyHistogram(name: string): LatencyHistogram {
  const histogram = new int32Histogram.default(
    LOWEST_US,
    HIGHEST_US,
    SIGNIFICANT_DIGITS,
  );
  let sumMs = 0;
  return {
    name,
    record(durationMs) {
      const us = Math.max(0, Math.round(durationMs * 1000));
      histogram.recordValue(Math.min(us, HIGHEST_US));
      sumMs += durationMs;
    },
    percentileMs: (percentile) =>
      histogram.getValueAtPercentile(percentile) / 1000,
    count: () => histogram.totalCount,
    sumMs: () => sumMs,
  };
}
