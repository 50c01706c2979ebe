/**
 * Forecasts the time until a model engine sends the first event of one more
 * request. The engine works in passes: each runs a few decode steps for all
 * running requests and prefills waiting prompts between the steps.
 */

import type { EngineProfile } from "../directory/mod.ts";
import type { EndpointLoad } from "./endpoint_loads.ts";

/** Share of a pass that prefill takes when all slots are in use. */
const PREFILL_SHARE = 0.5;
/**
 * Mean share that is left of the pass in which a request arrives. More than
 * half, since more requests arrive during the long passes that run prefill.
 */
const PASS_RESIDUAL_SHARE = 0.75;

export function forecastFirstEventMs(
  engine: EngineProfile,
  load: EndpointLoad,
  promptTokens: number,
): number {
  const slowdown = load.report?.slowdown ?? 1;
  const decodingRequests = Math.min(load.requests, engine.slots);
  const passMs = computePassMs(engine, decodingRequests) * slowdown;
  const prefillMs =
    ((load.unreadTokens + promptTokens) / engine.readTokensPerS) *
    1000 *
    slowdown;
  const prefillShare = (PREFILL_SHARE * decodingRequests) / engine.slots;
  const residualMs = (passMs / (1 - prefillShare)) * PASS_RESIDUAL_SHARE;
  const queuedRequests = Math.max(0, load.requests + 1 - engine.slots);
  return (
    residualMs +
    passMs +
    prefillMs +
    queuedRequests * computeSlotWaitMs(engine, passMs)
  );
}

export function computePassMs(
  engine: EngineProfile,
  decodingRequests: number,
): number {
  const contextTokens =
    decodingRequests *
    (engine.usualPromptTokens + engine.usualAnswerTokens / 2);
  const stepMs =
    engine.stepMs +
    decodingRequests * engine.stepMsPerSequence +
    (contextTokens / 1000) * engine.stepMsPerThousandContextTokens;
  return stepMs * engine.stepsPerPass;
}

/** Mean time until one of the running requests ends, with all slots in use. */
function computeSlotWaitMs(engine: EngineProfile, passMs: number): number {
  const passes = engine.usualAnswerTokens / engine.stepsPerPass;
  return (passes * passMs) / (1 - PREFILL_SHARE) / engine.slots;
}
