/**
 * How long requests may still start on a weight version. After a newer version
 * is published, requests may start on the older one for a bounded time.
 */

import type { WantedWeights } from "../directory/mod.ts";

/**
 * Requests queue at the endpoint before they start. One that has not started by
 * the bound is aborted, but the abort races against its start, so a request is
 * sent only if it starts in time even when it takes longer than the forecast, a
 * median, by this factor and margin.
 */
const START_SPREAD = 1.5;
const START_MARGIN_MS = 700;
/**
 * Until an abort takes effect. The engine sees it after the pass in progress,
 * which takes up to 350 ms while prompts are read, and may begin the request
 * with the pass that follows.
 */
export const ABORT_DELAY_MS = 400;

export interface VersionLimits {
  /** How long requests may start on an older version; 0 means no limit. */
  readonly oldVersionGraceMs: number;
  /** On the same clock as `graceStartMs`. */
  readonly nowMs: number;
  /**
   * Round trip to the endpoint's host. While chunks of the next version fill
   * its link, requests start and aborts arrive later by this time.
   */
  readonly roundTripMs: number;
}

/** Time left in which a request may start on `servedVersion`, or Infinity. */
export function computeStartWindowMs(
  servedVersion: number,
  wanted: readonly WantedWeights[],
  { oldVersionGraceMs, nowMs, roundTripMs }: VersionLimits,
): number {
  if (oldVersionGraceMs <= 0) return Infinity;
  return wanted
    .filter(({ version }) => version > servedVersion)
    .reduce(
      (least, { graceStartMs }) =>
        Math.min(least, graceStartMs + oldVersionGraceMs - nowMs - roundTripMs),
      Infinity,
    );
}

/** `forecastMs`: median time until the request starts. */
export function startsInTime(
  startWindowMs: number,
  forecastMs: number,
): boolean {
  return startWindowMs > START_MARGIN_MS + START_SPREAD * forecastMs;
}
