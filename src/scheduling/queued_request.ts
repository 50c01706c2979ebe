/**
 * Tells a request that waits in its endpoint's queue from one that a silent
 * endpoint has lost. Load pattern: a burst in which less urgent requests wait
 * for seconds at endpoints that work all the time; ending them as if the
 * endpoint were silent starts their wait again elsewhere and uses up retries.
 */

import type { EndpointLoad } from "./endpoint_loads.ts";

/** Urgent requests that arrive later are admitted first. */
const MAX_WAIT_TO_FORECAST = 4;

export interface WaitingRequest {
  /** Current load of the request's endpoint. */
  readonly load: Pick<EndpointLoad, "report">;
  /** Time since the request was sent. */
  readonly waitedMs: number;
  /** Of the first event, when the request was sent. */
  readonly forecastMs: number;
}

/** False without a recent report, or if the wait is out of proportion. */
export function isLikelyQueued({
  load: { report },
  waitedMs,
  forecastMs,
}: WaitingRequest): boolean {
  if (report === undefined || report.phase !== "warm") return false;
  return report.waiting > 0 && waitedMs <= forecastMs * MAX_WAIT_TO_FORECAST;
}
