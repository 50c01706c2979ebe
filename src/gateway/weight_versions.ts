/**
 * Until when requests may still begin on a version of weights. After a newer
 * one is named, the older one may go on for a bounded time.
 */

import type { WantedWeights } from "../directory/mod.ts";

/**
 * Requests wait at the endpoint before they begin. One that has not begun by
 * the bound is ended, so this only keeps most from waiting in vain.
 */
const BEGIN_MARGIN_MS = 400;
/** The end of a request reaches the endpoint this much later in any case. */
const ABORT_TRAVEL_MS = 100;

export interface VersionLimits {
  /** How long an older version may begin requests; 0 when unlimited. */
  readonly replaceWithinMs: number;
  /** On the clock of `countsFromMs`. */
  readonly nowMs: number;
  /**
   * Round trip to the endpoint's host. While chunks of the next version fill
   * its link, a request begins, and its end arrives, later by as much.
   */
  readonly roundTripMs: number;
}

/** Time left in which a request may begin on `served`; Infinity if unbounded. */
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

/** How long to wait for a request to begin on `served`. */
export function computeBeginPatienceMs(
  served: number,
  wanted: readonly WantedWeights[],
  limits: VersionLimits,
): number {
  return computeBeginLeftMs(served, wanted, limits) - ABORT_TRAVEL_MS;
}
