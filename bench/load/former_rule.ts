/**
 * The forecast and the admission of the policy before requests had an urgency,
 * kept as a baseline. Every figure is that of the former rule.
 */

import type { EngineProfile } from "../../src/directory/mod.ts";

const PREFILL_SHARE = 0.5;
const PASS_RESIDUAL_SHARE = 0.75;
const FORECAST_SPREAD = 1.25;
const FORECAST_MARGIN_MS = 20;
const LATE_WAIT_SHARE = 0.75;

export interface FormerLoad {
  readonly requests: number;
  readonly unreadTokens: number;
  readonly slowdown: number;
}

export function forecastFormerly(
  engine: EngineProfile,
  load: FormerLoad,
  promptTokens: number,
): number {
  const decoding = Math.min(load.requests, engine.slots);
  const passMs = computePassMs(engine, decoding) * load.slowdown;
  const prefillMs =
    ((load.unreadTokens + promptTokens) / engine.readTokensPerS) *
    1_000 *
    load.slowdown;
  const prefillShare = (PREFILL_SHARE * decoding) / engine.slots;
  const residualMs = (passMs / (1 - prefillShare)) * PASS_RESIDUAL_SHARE;
  const queued = Math.max(0, load.requests + 1 - engine.slots);
  const passes = engine.usualAnswerTokens / engine.stepsPerPass;
  const slotWaitMs = (passes * passMs) / (1 - PREFILL_SHARE) / engine.slots;
  return residualMs + passMs + prefillMs + queued * slotWaitMs;
}

function computePassMs(engine: EngineProfile, decoding: number): number {
  const contextTokens =
    decoding * (engine.usualPromptTokens + engine.usualAnswerTokens / 2);
  const stepMs =
    engine.stepMs +
    decoding * engine.stepMsPerSequence +
    (contextTokens / 1_000) * engine.stepMsPerThousandContextTokens;
  return stepMs * engine.stepsPerPass;
}

export function isAdmittedFormerly(options: {
  readonly engine: EngineProfile;
  readonly load: FormerLoad;
  readonly forecastMs: number;
  readonly promptTokens: number;
  readonly timeToObjectiveMs: number;
  readonly timeLeftMs: number;
}): boolean {
  const { engine, load, forecastMs, promptTokens } = options;
  const onTimeMs = computeMaxForecastMs(options.timeToObjectiveMs);
  if (forecastMs <= onTimeMs) return true;
  if (forecastMs > computeMaxForecastMs(options.timeLeftMs)) return false;
  const unloaded = { ...load, requests: 0, unreadTokens: 0 };
  const idle = { requests: 0, unreadTokens: 0, slowdown: 1 };
  const waitMs = forecastMs - forecastFormerly(engine, unloaded, promptTokens);
  const usualMs = forecastFormerly(engine, idle, engine.usualPromptTokens);
  return waitMs <= Math.max(0, onTimeMs - usualMs) * LATE_WAIT_SHARE;
}

function computeMaxForecastMs(timeMs: number): number {
  return (timeMs - FORECAST_MARGIN_MS) / FORECAST_SPREAD;
}

/** Share of the calls of the last two seconds that were refused. */
export function createFormerRefusedShare(nowMs: () => number) {
  const slots = Array.from({ length: 10 }, () => ({
    index: -10,
    calls: 0,
    refused: 0,
  }));

  function currentSlot() {
    const index = Math.floor(nowMs() / 200);
    const slot = slots[index % slots.length]!;
    if (slot.index !== index)
      Object.assign(slot, { index, calls: 0, refused: 0 });
    return slot;
  }

  return {
    count(isRefused: boolean) {
      const slot = currentSlot();
      slot.calls += 1;
      slot.refused += isRefused ? 1 : 0;
    },
    read(): number {
      const { index } = currentSlot();
      const recent = slots.filter((slot) => slot.index > index - slots.length);
      const refused = recent.reduce((sum, slot) => sum + slot.refused, 0);
      const calls = recent.reduce((sum, slot) => sum + slot.calls, 0);
      return refused === 0 ? 0 : refused / calls;
    },
  };
}
