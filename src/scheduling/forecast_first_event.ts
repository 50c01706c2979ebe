/**
 * Forecasts when a model engine sends the first and the last event of one more
 * request. The engine works in passes: each runs a few decode steps for all
 * running requests and prefills the prompts of those that have just been
 * admitted. The forecast is the median of what can be expected.
 */

import type { EngineProfile } from "../directory/mod.ts";
import type { EndpointLoad } from "./endpoint_loads.ts";

/**
 * Slots are freed at the end of a pass, which the request waits for in any case,
 * and the median of a wait is below its mean: a queue costs this much less than
 * one slot for each request.
 */
const QUEUE_DISCOUNT = 0.5;

/** The figures of a load that a forecast is made from. */
export type ForecastLoad = Pick<
  EndpointLoad,
  "requests" | "requestsAhead" | "unreadTokens" | "slowdown"
>;

export interface RequestSize {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

interface PassForecast {
  /** Time of the decode steps alone. */
  readonly stepsMs: number;
  /** With the prompts that are read meanwhile. */
  readonly passMs: number;
  /** More than half of a pass, as most requests arrive during the long ones. */
  readonly meanRestMs: number;
  /** Share of the engine's time in which it reads prompts. */
  readonly readShare: number;
  /** Mean time between two requests that end, with all slots in use. */
  readonly slotWaitMs: number;
}

export function forecastFirstEventMs(
  engine: EngineProfile,
  load: ForecastLoad,
  promptTokens: number,
): number {
  const { slots, readTokensPerS } = engine;
  const pass = forecastPass(engine, Math.min(load.requests, slots));
  // The rest of the pass that is under way, in which prompts arrive that are
  // read together with that of the request.
  const restMs = pass.meanRestMs * (1 + pass.readShare / 2);
  const readMs = ((load.unreadTokens + promptTokens) / readTokensPerS) * 1_000;
  const queued = Math.max(0, load.requestsAhead + 1 - slots);
  const slotsAwaited = Math.max(
    queued * (1 - QUEUE_DISCOUNT),
    queued - QUEUE_DISCOUNT,
  );
  const queueMs = slotsAwaited * pass.slotWaitMs;
  return (restMs + pass.stepsMs + readMs + queueMs) * load.slowdown;
}

/** Time until the last event. */
export function forecastEndMs(
  engine: EngineProfile,
  load: ForecastLoad,
  { promptTokens, answerTokens }: RequestSize,
): number {
  const running = Math.min(load.requests + 1, engine.slots);
  const { passMs } = forecastPass(engine, running);
  const passes = Math.max(0, answerTokens / engine.stepsPerPass - 1);
  return (
    forecastFirstEventMs(engine, load, promptTokens) +
    passes * passMs * load.slowdown
  );
}

/** As many requests of the usual size start as end. */
function forecastPass(engine: EngineProfile, running: number): PassForecast {
  const stepsMs = computePassMs(engine, running);
  const readMs = (engine.usualPromptTokens / engine.readTokensPerS) * 1_000;
  const passes = engine.usualAnswerTokens / engine.stepsPerPass;
  const readRatio = (running * readMs) / (passes * stepsMs);
  const passMs = stepsMs * (1 + readRatio);
  const readShare = readRatio / (1 + readRatio);
  return {
    stepsMs,
    passMs,
    meanRestMs: (passMs + readShare * readMs) / 2,
    readShare,
    slotWaitMs: readMs + (passes * stepsMs) / engine.slots,
  };
}

/** Without prompts that are read meanwhile. */
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
