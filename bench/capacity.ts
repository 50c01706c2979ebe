/**
 * Capacity of a fleet's engines: computed from the limits of the engine
 * stand-in, and measured with more callers than the fleet has slots.
 */

import type { CallResult } from "./call.ts";
import type { EngineProfile } from "./fleet.ts";
import type { Random } from "./random.ts";

const MIN_BACKOFF_MS = 100;
const BACKOFF_JITTER_MS = 200;

export interface EngineLoad {
  readonly engine: EngineProfile;
  readonly tokens: number;
}

/**
 * Requests per second of one warm engine: each slot emits a token per step, and
 * a request also occupies its slot during the prefill. All prompts must differ,
 * because a cached prefix shortens the prefill.
 */
export function computeEngineRequestsPerS({
  engine,
  tokens,
}: EngineLoad): number {
  const { warmCapacity, stepMs, prefillMs } = engine;
  return (warmCapacity * 1000) / (tokens * stepMs + prefillMs);
}

export interface ClosedLoadOptions<T extends CallResult> {
  readonly callers: number;
  readonly random: Random;
  readonly send: () => Promise<T>;
}

/** Each caller has one request in flight and backs off after a failure. */
export function startClosedLoad<T extends CallResult>({
  callers,
  random,
  send,
}: ClosedLoadOptions<T>) {
  const results: T[] = [];
  let isRunning = true;
  async function runCaller() {
    while (isRunning) {
      const result = await send();
      results.push(result);
      if (result.outcome !== "answered_whole") {
        const backoffMs = MIN_BACKOFF_MS + random() * BACKOFF_JITTER_MS;
        await new Promise((resolve) => setTimeout(resolve, backoffMs));
      }
    }
  }
  const tasks = Array.from({ length: callers }, runCaller);
  return {
    results: (): readonly T[] => results,
    async stop() {
      isRunning = false;
      await Promise.all(tasks);
    },
  };
}

export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Complete responses per second within the span. A response that crosses an
 * edge of the span counts by the share of its streaming time inside it. Engines
 * that filled up together also finish together, so a count of finished
 * responses would depend on where the edges are.
 */
export function computeGoodputPerS(
  results: readonly CallResult[],
  { fromMs, toMs }: TimeSpan,
): number {
  const answered = results
    .filter(({ outcome }) => outcome === "answered_whole")
    .reduce((sum, { sentAtMs, totalMs, firstTokenMs = 0 }) => {
      const startMs = sentAtMs + firstTokenMs;
      const endMs = sentAtMs + totalMs;
      const overlapMs = Math.min(endMs, toMs) - Math.max(startMs, fromMs);
      return sum + Math.max(0, overlapMs) / Math.max(1, endMs - startMs);
    }, 0);
  return answered / ((toMs - fromMs) / 1000);
}
