/**
 * A model engine in simulated time. It works in passes, which read the prompts of
 * admitted requests and run decode steps, and admits urgent requests first.
 */

import type { EngineProfile } from "../../directory/mod.ts";
import { computePassMs } from "../forecast_first_event.ts";

/** Tokens that an engine reads in one pass. */
const READ_CHUNK_TOKENS = 2_048;
const MAX_QUEUED = 24;

export interface EngineRequest {
  readonly urgency: number;
  unreadTokens: number;
  eventsLeft: number;
  readonly onFirstEvent: () => void;
  readonly onEnd: () => void;
  hasStarted: boolean;
}

export interface SimulatedEngine {
  /** False if the queue is full. */
  offer(request: EngineRequest): boolean;
  countLoad(): { readonly running: number; readonly waiting: number };
}

export function createSimulatedEngine(options: {
  readonly profile: EngineProfile;
  /** Factor by which work takes longer now. */
  readonly slowdown: () => number;
  readonly schedule: (delayMs: number, handle: () => void) => void;
}): SimulatedEngine {
  const { profile, slowdown, schedule } = options;
  let running: EngineRequest[] = [];
  let waiting: EngineRequest[] = [];
  let isBusy = false;

  /** In order of urgency, and of arrival within one. */
  function admit() {
    waiting.sort((a, b) => a.urgency - b.urgency);
    running.push(...waiting.splice(0, profile.slots - running.length));
  }

  /** Returns the tokens that are read in the pass. */
  function readPrompts(): number {
    return running.reduce((readTokens, request) => {
      const tokens = Math.min(
        READ_CHUNK_TOKENS - readTokens,
        request.unreadTokens,
      );
      request.unreadTokens -= tokens;
      return readTokens + tokens;
    }, 0);
  }

  function startPass() {
    admit();
    isBusy = running.length > 0;
    if (!isBusy) return;
    const readTokens = readPrompts();
    const decoding = running.filter(({ unreadTokens }) => unreadTokens === 0);
    const passMs =
      computePassMs(profile, decoding.length) +
      (readTokens / profile.readTokensPerS) * 1_000;
    schedule(passMs * slowdown(), () => {
      decoding.forEach((request) => {
        request.eventsLeft -= 1;
        if (!request.hasStarted) request.onFirstEvent();
        request.hasStarted = true;
        if (request.eventsLeft <= 0) request.onEnd();
      });
      running = running.filter(({ eventsLeft }) => eventsLeft > 0);
      startPass();
    });
  }

  return {
    offer(request) {
      if (waiting.length >= MAX_QUEUED) return false;
      waiting = [...waiting, request];
      if (!isBusy) startPass();
      return true;
    },
    countLoad: () => ({ running: running.length, waiting: waiting.length }),
  };
}
