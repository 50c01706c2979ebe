/**
 * Decides whether a request may wait at the endpoint with the best forecast.
 * Load pattern: more work than the endpoints can do, requests of very different
 * sizes, and endpoints that are slower than their published figures.
 *
 * A request that will be on time is admitted. A large one, or any at a slow
 * endpoint, may be late even without load; refusing it would leave large
 * requests unserved while smaller ones are served. So one that would be late is
 * admitted as long as it waits for others no longer than a request of the usual
 * size may.
 */

import type { EngineProfile } from "../directory/mod.ts";
import { NO_LOAD } from "./endpoint_loads.ts";
import type { EndpointLoad } from "./endpoint_loads.ts";
import { forecastFirstEventMs } from "./forecast_first_event.ts";

/**
 * The forecast is a median: 90% of the requests get their first event within
 * about twice the forecast, and two thirds within this factor.
 */
const FORECAST_SPREAD = 1.25;
const FORECAST_MARGIN_MS = 20;
/**
 * Less than all, as a late request is worth less to its caller than the smaller
 * ones that could have the endpoint's time.
 */
const LATE_WAIT_SHARE = 0.9;

export interface WaitOptions {
  readonly engine: EngineProfile;
  /** Ahead of the request at the endpoint with the forecast. */
  readonly load: EndpointLoad;
  readonly forecastMs: number;
  readonly promptTokens: number;
  /** Time left until the latency objective. */
  readonly timeToObjectiveMs: number;
  /** Time left until the caller stops waiting. */
  readonly timeLeftMs: number;
}

export function mayWait(options: WaitOptions): boolean {
  const { engine, load, forecastMs, promptTokens } = options;
  const onTimeMs = computeMaxForecastMs(options.timeToObjectiveMs);
  if (forecastMs <= onTimeMs) return true;
  if (forecastMs > computeMaxForecastMs(options.timeLeftMs)) return false;
  const unloaded = {
    ...load,
    requests: 0,
    requestsAhead: 0,
    unreadTokens: 0,
  };
  const waitMs =
    forecastMs - forecastFirstEventMs(engine, unloaded, promptTokens);
  const usualMs = forecastFirstEventMs(
    engine,
    NO_LOAD,
    engine.usualPromptTokens,
  );
  return waitMs <= Math.max(0, onTimeMs - usualMs) * LATE_WAIT_SHARE;
}

function computeMaxForecastMs(timeMs: number): number {
  return (timeMs - FORECAST_MARGIN_MS) / FORECAST_SPREAD;
}
