/**
 * What the engines of a fleet can do: worked out from the limits of the engine
 * stand-in, and measured with more callers than the fleet has places for.
 */

import type { CallResult } from "./call.ts";
import type { EngineProfile } from "./fleet.ts";
import type { Random } from "./random.ts";

const MIN_BACKOFF_MS = 100;
const BACKOFF_SPAN_MS = 200;

export interface EngineWork {
  readonly engine: EngineProfile;
  readonly tokens: number;
}

/**
 * Requests per second of one warm engine: each slot emits a token per step, and
 * a request holds its slot during the prefill as well. All prompts must differ,
 * because a cached prefix shortens the prefill.
 */
export function computeEnginePerS({ engine, tokens }: EngineWork): number {
  const { warmCapacity, stepMs, prefillMs } = engine;
  return (warmCapacity * 1000) / (tokens * stepMs + prefillMs);
}

export interface ClosedLoadOptions<T extends CallResult> {
  readonly callers: number;
  readonly random: Random;
  readonly send: () => Promise<T>;
}

/** Each caller has one request at a time and pauses after a refusal. */
export function startClosedLoad<T extends CallResult>({
  callers,
  random,
  send,
}: ClosedLoadOptions<T>) {
  const results: T[] = [];
  let isOn = true;
  async function run() {
    while (isOn) {
      const result = await send();
      results.push(result);
      if (result.outcome !== "answered_whole") {
        const waitMs = MIN_BACKOFF_MS + random() * BACKOFF_SPAN_MS;
        await new Promise((resolve) => setTimeout(resolve, waitMs));
      }
    }
  }
  const tasks = Array.from({ length: callers }, run);
  return {
    results: (): readonly T[] => results,
    async stop() {
      isOn = false;
      await Promise.all(tasks);
    },
  };
}

export interface TimeSpan {
  readonly fromMs: number;
  readonly toMs: number;
}

/**
 * Whole answers within the span, per second. An answer at the edge counts by
 * the part of its tokens' time inside: engines that filled up together also
 * finish together, so a count of ends would depend on the edges.
 */
export function countAnsweredPerS(
  results: readonly CallResult[],
  { fromMs, toMs }: TimeSpan,
): number {
  const answered = results
    .filter(({ outcome }) => outcome === "answered_whole")
    .reduce((sum, { sentAtMs, totalMs, firstTokenMs = 0 }) => {
      const startMs = sentAtMs + firstTokenMs;
      const endMs = sentAtMs + totalMs;
      const insideMs = Math.min(endMs, toMs) - Math.max(startMs, fromMs);
      return sum + Math.max(0, insideMs) / Math.max(1, endMs - startMs);
    }, 0);
  return answered / ((toMs - fromMs) / 1000);
}
