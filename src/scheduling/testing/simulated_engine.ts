/** A model engine in simulated time, with a queue ordered by priority. */

import type { EngineProfile } from "../../directory/mod.ts";
import { computePassMs } from "../forecast_first_event.ts";

const MAX_QUEUED = 24;
/** Tokens that an engine reads beside one decode step. */
const READ_TOKENS_PER_STEP = 2_048;

export interface EngineRequest {
  readonly priority: number;
  unreadTokens: number;
  outputTokens: number;
  readonly onFirstEvent: () => void;
  readonly onEnd: () => void;
}

export interface SimulatedEngine {
  /** False if the engine refuses the request because its queue is full. */
  offer(request: EngineRequest): boolean;
  /** To be called at short intervals. */
  advance(): void;
  running(): number;
  waiting(): number;
}

export function createEngine(
  profile: EngineProfile,
  nowMs: () => number,
  /** Factor by which work takes longer now. */
  slowdown: () => number = () => 1,
): SimulatedEngine {
  let running: readonly EngineRequest[] = [];
  const queue: EngineRequest[] = [];
  let passEndsAtMs = 0;
  let endPass: () => void = () => undefined;

  function admit() {
    while (running.length < profile.slots && queue.length > 0) {
      const first = queue.reduce((a, b) => (b.priority < a.priority ? b : a));
      queue.splice(queue.indexOf(first), 1);
      running = [...running, first];
    }
  }

  function startPass() {
    admit();
    if (running.length === 0) {
      endPass = () => undefined;
      return;
    }
    const decoding = running.filter(({ unreadTokens }) => unreadTokens === 0);
    let leftTokens = READ_TOKENS_PER_STEP * profile.stepsPerPass;
    const readCompletely = running.filter((request) => {
      if (request.unreadTokens === 0) return false;
      const tokens = Math.min(leftTokens, request.unreadTokens);
      request.unreadTokens -= tokens;
      leftTokens -= tokens;
      return request.unreadTokens === 0;
    });
    const readTokens = READ_TOKENS_PER_STEP * profile.stepsPerPass - leftTokens;
    const passMs =
      computePassMs(profile, decoding.length) +
      (readTokens / profile.readTokensPerS) * 1_000;
    passEndsAtMs = nowMs() + passMs * slowdown();
    endPass = () => {
      [...decoding, ...readCompletely].forEach((request) => {
        request.outputTokens -= profile.stepsPerPass;
      });
      readCompletely.forEach((request) => request.onFirstEvent());
      const ended = running.filter(({ outputTokens }) => outputTokens <= 0);
      running = running.filter(({ outputTokens }) => outputTokens > 0);
      ended.forEach((request) => request.onEnd());
    };
  }

  return {
    offer(request) {
      if (queue.length >= MAX_QUEUED) return false;
      queue.push(request);
      return true;
    },
    advance() {
      if (nowMs() < passEndsAtMs) return;
      endPass();
      startPass();
    },
    running: () => running.length,
    waiting: () => queue.length,
  };
}
