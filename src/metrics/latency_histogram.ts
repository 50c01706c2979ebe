/**
 * A latency distribution in an HDR histogram with a resolution of 1
 * microsecond.
 */

import * as hdr from "hdr-histogram-js";

const HIGHEST_US = 600_000_000;

export interface LatencyHistogram {
  readonly name: string;
  record(durationMs: number): void;
  /** Value in milliseconds at a percentile from 0 to 100. */
  percentileMs(percentile: number): number;
  count(): number;
  sumMs(): number;
}

export function createLatencyHistogram(name: string): LatencyHistogram {
  const histogram = hdr.build({
    highestTrackableValue: HIGHEST_US,
    numberOfSignificantValueDigits: 3,
  });
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
