/**
 * Forecasts the first event of a request at an endpoint that admits by urgency.
 * Load pattern: endpoints whose slots are all in use, with a queue in which most
 * requests are less urgent than the one to be sent.
 */

import type { EngineProfile } from "../directory/mod.ts";
import type { EndpointLoad } from "./endpoint_loads.ts";
import { computePassMs, forecastFirstEventMs } from "./forecast_first_event.ts";

/** The part of a load that the endpoint admits or reads before a request. */
export function estimateLoadAhead(
  engine: EngineProfile,
  load: EndpointLoad,
  /** Share of the endpoint's queue that is admitted first. */
  shareAhead: number,
): EndpointLoad {
  const queued = Math.max(0, load.requests - engine.slots);
  const behind = queued * (1 - shareAhead);
  const unreadBehind = behind * engine.usualPromptTokens;
  return {
    ...load,
    requests: load.requests - behind,
    unreadTokens: Math.max(0, load.unreadTokens - unreadBehind),
  };
}

export function forecastByUrgencyMs(
  engine: EngineProfile,
  /** As returned by `estimateLoadAhead`. */
  load: EndpointLoad,
  promptTokens: number,
): number {
  const slowdown = load.report?.slowdown ?? 1;
  const queued = Math.max(0, load.requests + 1 - engine.slots);
  const passMs = computePassMs(engine, engine.slots);
  const readMs = (promptTokens / engine.readTokensPerS) * 1_000;
  const withSlotMs = forecastFirstEventMs(
    engine,
    { ...load, requests: load.requests - queued },
    promptTokens,
  );
  if (queued === 0) return withSlotMs;
  // A slot becomes free at the end of a pass, and the prompts ahead are read
  // during the wait for it, so neither adds to the wait.
  const queueMs = queued * computeSlotIntervalMs(engine) * slowdown;
  return Math.max(withSlotMs, queueMs + (passMs + readMs) * slowdown);
}

/**
 * Mean time between the ends of two requests while all slots are in use: the
 * engine reads one prompt and generates one answer in it.
 */
export function computeSlotIntervalMs(engine: EngineProfile): number {
  const passes = engine.usualAnswerTokens / engine.stepsPerPass;
  const generateMs = passes * computePassMs(engine, engine.slots);
  const readMs = (engine.usualPromptTokens / engine.readTokensPerS) * 1_000;
  return generateMs / engine.slots + readMs;
}
