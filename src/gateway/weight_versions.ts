/**
 * How long requests may still start on a weight version. After a newer version
 * is published, requests may start on the older one for a bounded time.
 */

import type { WantedWeights } from "../directory/mod.ts";

/**
 * Requests queue at the endpoint before they start. A request that has not
 * started by the bound is aborted; this margin avoids sending most of those.
 */
const BEGIN_MARGIN_MS = 400;
/** Minimum delay until an abort reaches the endpoint. */
const ABORT_TRAVEL_MS = 100;

export interface VersionLimits {
  /** How long requests may start on an older version; 0 means no limit. */
  readonly replaceWithinMs: number;
  /** On the same clock as `countsFromMs`. */
  readonly nowMs: number;
  /**
   * Round trip to the endpoint's host. While chunks of the next version fill
   * its link, requests start and aborts arrive later by this time.
   */
  readonly roundTripMs: number;
}

/** Time left in which a request may start on `served`, or Infinity. */
export function computeBeginLeftMs(
  served: number,
  wanted: readonly WantedWeights[],
  { replaceWithinMs, nowMs, roundTripMs }: VersionLimits,
): number {
  if (replaceWithinMs <= 0) return Infinity;
  return wanted
    .filter(({ version }) => version > served)
    .reduce(
      (least, { countsFromMs }) =>
        Math.min(least, countsFromMs + replaceWithinMs - nowMs - roundTripMs),
      Infinity,
    );
}

export function isVersionAllowed(
  served: number,
  wanted: readonly WantedWeights[],
  limits: VersionLimits,
): boolean {
  return computeBeginLeftMs(served, wanted, limits) > BEGIN_MARGIN_MS;
}

/** How long to wait for a request to start on `served` before aborting it. */
export function computeBeginPatienceMs(
  served: number,
  wanted: readonly WantedWeights[],
  limits: VersionLimits,
): number {
  return computeBeginLeftMs(served, wanted, limits) - ABORT_TRAVEL_MS;
}
